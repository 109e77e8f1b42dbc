//! The table in the docs lists exactly the codes that there are.

use cowsliproad::kernel::code::ResultCode;

#[test]
fn the_table_is_the_enum() {
    let page = include_str!("../docs/RESULT_CODES.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| {
            let mut cells = line.split('|').skip(1);
            let first = cells.next().unwrap_or_default().trim();
            first.parse::<u16>().is_ok()
        })
        .collect();
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| {
            format!(
                "| {} | {} | {} | {} |",
                code.number(),
                code.name(),
                code.status(),
                code.text()
            )
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn numbers_are_read_back() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::try_from(code.number()), Ok(*code));
    }
}
