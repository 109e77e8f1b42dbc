//! Entries that a siege stops, kills, replaces and cuts off from the log, and
//! which of them did what.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use cowsliproad_direct::settings::Settings;
use cowsliproad_platform_standin::proxy::{LinkState, Proxy};
use rustix::process::Signal;
use tokio::time::sleep;

use crate::{
    harness::{Entry, Plant},
    siege,
};

/// What is on its way when a process goes on.
pub const ON_ITS_WAY: Duration = Duration::from_millis(100);

/// Where the way to the log begins on an entry's VM.
pub const LOG_PORT: u16 = 18_085;

/// An entry's process: a number that no other has.
pub type Process = usize;

/// A time in which a process stood still.
struct Freeze {
    process: Process,
    from: Instant,
    until: Instant,
}

/// Where an entry that takes the place of another one listens.
pub enum Address {
    /// Where that one did.
    Same,
    /// Where these settings say.
    Of(Box<Settings>),
}

/// The life of a process.
#[derive(Clone)]
pub struct Life {
    /// When it was started.
    pub from: Instant,
    /// When it was told to end, if it was.
    pub until: Option<Instant>,
    /// Those that it was told of.
    pub seeds: Vec<Process>,
}

/// Entries, one process each at a time.
pub struct Processes {
    /// The way of each place to the log.
    links: Vec<Proxy>,
    entries: Vec<RefCell<Option<(Process, Entry)>>>,
    lives: RefCell<Vec<Life>>,
    freezes: RefCell<Vec<Freeze>>,
    replaced: Cell<usize>,
}

impl Processes {
    /// So many that know the first three, and are ready.
    pub async fn start(plant: &mut Plant, count: usize) -> Processes {
        let mut entries: Vec<Entry> = Vec::new();
        let (mut lives, mut links) = (Vec::new(), Vec::new());
        for number in 0..count {
            let seeds: Vec<&Entry> = entries.iter().take(3).collect();
            let mut settings = plant.settings(&seeds);
            let address =
                (settings.caller_listen_address.ip(), LOG_PORT).into();
            let link = Proxy::start(address, settings.log_address).await;
            links.push(link.expect("a proxy"));
            settings.log_address = address;
            let seeds = (0..number.min(3)).collect();
            lives.push(Life { from: Instant::now(), until: None, seeds });
            entries.push(siege::start(settings));
        }
        for entry in &entries {
            entry.until_ready().await;
        }
        let entries = entries.into_iter().enumerate();
        Processes {
            links,
            entries: entries.map(|it| RefCell::new(Some(it))).collect(),
            lives: RefCell::new(lives),
            freezes: RefCell::default(),
            replaced: Cell::new(0),
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Does something with the entry in a place, if there is one now.
    pub fn with<T>(
        &self,
        place: usize,
        act: impl FnOnce(Process, &Entry) -> T,
    ) -> Option<T> {
        let entry = self.entries[place].borrow();
        entry.as_ref().map(|(process, entry)| act(*process, entry))
    }

    /// Has an entry stand still for a time.
    pub async fn freeze(&self, place: usize, time: Duration) {
        let from = Instant::now();
        let signal = |signal| {
            self.with(place, |process, entry| {
                entry.signal(signal);
                process
            })
        };
        let process = signal(Signal::STOP);
        sleep(time).await;
        signal(Signal::CONT);
        // It takes in what waited for it.
        let until = Instant::now() + ON_ITS_WAY;
        let freeze = process.map(|process| Freeze { process, from, until });
        self.freezes.borrow_mut().extend(freeze);
    }

    /// Changes the way of whichever entry is in a place to the log, for a
    /// time.
    pub async fn disturb(
        &self,
        place: usize,
        link: LinkState,
        time: Duration,
    ) {
        self.links[place].set_link_state(link);
        sleep(time).await;
        self.links[place].set_link_state(LinkState::Up);
    }

    /// Makes the connections silent that are open on the way of whichever entry
    /// is in a place to the log. New ones work.
    pub fn silence(&self, place: usize, cut: LinkState) {
        self.links[place].silence_open_connections(cut);
    }

    /// Ends an entry by a signal and starts another one in its place.
    pub async fn replace(
        &self,
        place: usize,
        signal: Signal,
        address: Address,
    ) {
        let Some((old, mut gone)) = self.entries[place].take() else { return };
        self.lives.borrow_mut()[old].until = Some(Instant::now());
        gone.signal(signal);
        let others = self.entries.iter();
        let others = others.filter_map(|it| {
            let entry = it.borrow();
            let (process, entry) = entry.as_ref()?;
            Some((*process, entry.settings.caller_listen_address))
        });
        let (known, seeds) = others.take(3).unzip();
        let settings = match address {
            Address::Same => gone.settings.clone(),
            // A VM that is replaced keeps its name.
            Address::Of(other) => Settings {
                vm: gone.settings.vm.clone(),
                log_address: gone.settings.log_address,
                ..*other
            },
        };
        let settings = Settings { seed_addresses: seeds, ..settings };
        if signal == Signal::KILL {
            gone.ended().await;
        }
        // One that was told to stop serves on for seconds; it is let go.
        drop(gone);
        let mut lives = self.lives.borrow_mut();
        let process = lives.len();
        let from = Instant::now();
        lives.push(Life { from, until: None, seeds: known });
        self.replaced.set(self.replaced.get() + 1);
        let entry = siege::start(settings);
        self.entries[place].replace(Some((process, entry)));
    }

    /// The life of a process.
    pub fn life(&self, process: Process) -> Life {
        self.lives.borrow()[process].clone()
    }

    /// Processes that were replaced.
    pub fn replaced(&self) -> usize {
        self.replaced.get()
    }

    /// Whether a process stood still at some time from one moment to another.
    pub fn stood_still(
        &self,
        process: Process,
        from: Instant,
        until: Instant,
    ) -> bool {
        let freezes = self.freezes.borrow();
        let mut own = freezes.iter().filter(|it| it.process == process);
        own.any(|it| it.from <= until && from <= it.until)
    }

    /// Whether a process ran from one moment to another without a pause.
    pub fn ran(
        &self,
        process: Process,
        from: Instant,
        until: Instant,
    ) -> bool {
        let life = self.life(process);
        let lived =
            life.from <= from && life.until.is_none_or(|it| it > until);
        lived && !self.stood_still(process, from, until)
    }

    /// All entries, which end with what is returned.
    pub fn take(&self) -> Vec<Entry> {
        let entries = self.entries.iter().filter_map(RefCell::take);
        entries.map(|it| it.1).collect()
    }
}
