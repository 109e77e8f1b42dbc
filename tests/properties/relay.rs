//! An answer is whole or it is not given out as whole.

use cowsliproad::{
    kernel::{
        id::Attempt,
        wire::{AnswerData, AnswerEnd, AnswerFormat, Frame},
    },
    relay::{AnswerAssembly, AssemblyProgress},
};
use proptest::prelude::*;

fn frames(attempt: u64, pieces: &[Vec<u8>]) -> Vec<Frame> {
    let attempt = Attempt(attempt);
    let whole = pieces.concat();
    let data = pieces.iter().enumerate().map(|(sequence, bytes)| {
        Frame::Data(AnswerData {
            attempt,
            frame_sequence: sequence as u32,
            bytes: bytes.clone(),
        })
    });
    let end = Frame::End(AnswerEnd {
        attempt,
        data_frame_count: pieces.len() as u32,
        format: AnswerFormat::Text,
        answer_bytes_total: whole.len() as u64,
        answer_blake3_digest: blake3::hash(&whole).as_bytes().to_vec(),
    });
    data.chain([end]).collect()
}

/// Feeds frames and returns the bytes and whether the answer is whole.
fn assemble(frames: &[Frame]) -> (Vec<u8>, Ending) {
    let mut assembly = AnswerAssembly::new(Attempt(1));
    let mut given = Vec::new();
    for frame in frames {
        let step = match frame.clone() {
            Frame::Data(data) => assembly.push_data(data),
            Frame::End(end) => assembly.push_end(end),
            _ => AssemblyProgress::Pending,
        };
        match step {
            AssemblyProgress::Pending => {}
            AssemblyProgress::Bytes(bytes) => given.extend(bytes),
            AssemblyProgress::Complete(bytes) => {
                given.extend(bytes);
                return (given, Ending::Whole);
            }
            AssemblyProgress::Broken => return (given, Ending::Broken),
        }
    }
    (given, Ending::Open)
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Whole,
    Open,
    Broken,
}

fn pieces() -> impl Strategy<Value = Vec<Vec<u8>>> {
    prop::collection::vec(prop::collection::vec(any::<u8>(), 1..20), 0..20)
}

proptest! {
    #![proptest_config(crate::config(256))]

    #[test]
    fn any_order_with_strangers_and_repeats_gives_the_whole(
        pieces in pieces(),
        strange in pieces(),
        seed in any::<u64>(),
    ) {
        let mut all = frames(1, &pieces);
        all.extend(all.clone());
        all.extend(frames(2, &strange));
        shuffle(&mut all, seed);
        let (given, ending) = assemble(&all);
        prop_assert_eq!(ending, Ending::Whole);
        prop_assert_eq!(given, pieces.concat());
    }

    #[test]
    fn a_missing_frame_is_never_whole(
        pieces in pieces(),
        missing in any::<prop::sample::Index>(),
        seed in any::<u64>(),
    ) {
        let mut all = frames(1, &pieces);
        all.remove(missing.index(all.len()));
        shuffle(&mut all, seed);
        let (_, ending) = assemble(&all);
        prop_assert_ne!(ending, Ending::Whole);
    }

    #[test]
    fn a_changed_byte_is_never_whole(
        pieces in pieces().prop_filter("bytes", |it| !it.is_empty()),
        which in any::<prop::sample::Index>(),
        byte in any::<prop::sample::Index>(),
    ) {
        let mut all = frames(1, &pieces);
        if let Frame::Data(data) = &mut all[which.index(pieces.len())] {
            let byte = byte.index(data.bytes.len());
            data.bytes[byte] ^= 1;
        }
        let (_, ending) = assemble(&all);
        prop_assert_eq!(ending, Ending::Broken);
    }

    #[test]
    fn a_resumed_answer_is_checked_as_a_whole(
        pieces in pieces(),
        cut in any::<prop::sample::Index>(),
    ) {
        let cut = cut.index(pieces.len() + 1);
        let mut assembly = AnswerAssembly::new(Attempt(1));
        for frame in &frames(1, &pieces)[..cut] {
            if let Frame::Data(data) = frame.clone() {
                assembly.push_data(data);
            }
        }
        let mut assembly = assembly.resume(Attempt(2));
        let mut last = AssemblyProgress::Pending;
        for frame in frames(2, &pieces[cut..]) {
            last = match frame {
                Frame::Data(data) => assembly.push_data(data),
                Frame::End(end) => assembly.push_end(AnswerEnd {
                    answer_bytes_total: pieces.concat().len() as u64,
                    answer_blake3_digest: digest(&pieces.concat()),
                    ..end
                }),
                _ => AssemblyProgress::Pending,
            };
        }
        prop_assert_eq!(last, AssemblyProgress::Complete(Vec::new()));
    }
}

fn digest(bytes: &[u8]) -> Vec<u8> {
    blake3::hash(bytes).as_bytes().to_vec()
}

fn shuffle(frames: &mut [Frame], seed: u64) {
    use rand::{SeedableRng, seq::SliceRandom};
    frames.shuffle(&mut rand::rngs::StdRng::seed_from_u64(seed));
}
