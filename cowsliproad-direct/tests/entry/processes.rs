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
    harness::{Entry, Plant, metric, until},
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

/// A time in which the way of a place to the log was disturbed.
struct Cut {
    place: usize,
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
    /// The place that it takes.
    pub place: usize,
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
    /// Processes that stand still now.
    stopped: RefCell<Vec<Process>>,
    cuts: RefCell<Vec<Cut>>,
    replaced: Cell<usize>,
    start_entry: fn(Settings) -> Entry,
}

impl Processes {
    /// So many that know the first three, and are ready.
    pub async fn start(plant: &mut Plant, count: usize) -> Processes {
        Processes::start_with(plant, count, siege::start).await
    }

    /// The same with another way to start an entry.
    pub async fn start_with(
        plant: &mut Plant,
        count: usize,
        start_entry: fn(Settings) -> Entry,
    ) -> Processes {
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
            let from = Instant::now();
            lives.push(Life { place: number, from, until: None, seeds });
            entries.push(start_entry(settings));
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
            stopped: RefCell::default(),
            cuts: RefCell::default(),
            replaced: Cell::new(0),
            start_entry,
        }
    }

    /// Waits until all entries have met.
    pub async fn until_met(&self) {
        let others = Some((self.count() - 1) as f64);
        for place in 0..self.count() {
            let address =
                self.with(place, |_, it| it.settings.readiness_address);
            let Some(address) = address else { continue };
            let uri = format!("http://{address}/metrics");
            until("they have met", async || {
                metric(&uri, "peers").await == others
            })
            .await;
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
        self.stop(place, time, |entry, _| entry.signal(Signal::CONT)).await;
    }

    /// Suspends the VM of an entry for a time.
    pub async fn suspend(&self, place: usize, time: Duration) {
        self.stop(place, time, Entry::resume_after).await;
    }

    /// Stops an entry for a time, unless it stands still already.
    async fn stop(
        &self,
        place: usize,
        time: Duration,
        resume: impl FnOnce(&Entry, Duration),
    ) {
        let from = Instant::now();
        let stopped = self.with(place, |process, entry| {
            let mut stopped = self.stopped.borrow_mut();
            let is_running = !stopped.contains(&process);
            is_running.then(|| {
                entry.signal(Signal::STOP);
                stopped.push(process);
                process
            })
        });
        sleep(time).await;
        let Some(process) = stopped.flatten() else { return };
        self.with(place, |current, entry| {
            if current == process {
                resume(entry, from.elapsed());
            }
        });
        self.stopped.borrow_mut().retain(|it| *it != process);
        // It takes in what waited for it.
        let until = Instant::now() + ON_ITS_WAY;
        self.freezes.borrow_mut().push(Freeze { process, from, until });
    }

    /// Changes the way of whichever entry is in a place to the log, for a
    /// time.
    pub async fn disturb(
        &self,
        place: usize,
        link: LinkState,
        time: Duration,
    ) {
        let from = Instant::now();
        self.links[place].set_link_state(link);
        sleep(time).await;
        self.links[place].set_link_state(LinkState::Up);
        let cut = Cut { place, from, until: Instant::now() };
        self.cuts.borrow_mut().push(cut);
    }

    /// Whether the way of a place to the log was disturbed at some time from
    /// one moment to another.
    pub fn was_cut(
        &self,
        place: usize,
        from: Instant,
        until: Instant,
    ) -> bool {
        let cuts = self.cuts.borrow();
        let mut own = cuts.iter().filter(|it| it.place == place);
        own.any(|it| it.from <= until && from <= it.until)
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
        if signal == Signal::KILL {
            gone.ended().await;
        }
        // One that was told to stop serves on for seconds; it is let go.
        self.start_after(place, gone, address);
    }

    /// Stops an entry, which serves on until its own end, and then starts
    /// another one in its place.
    pub async fn release(&self, place: usize) {
        let stopping = self.with(place, |process, entry| {
            entry.signal(Signal::TERM);
            process
        });
        let Some(stopping) = stopping else { return };
        self.lives.borrow_mut()[stopping].until = Some(Instant::now());
        loop {
            sleep(Duration::from_millis(20)).await;
            let mut entry = self.entries[place].borrow_mut();
            match entry.as_mut() {
                Some((process, entry)) if *process == stopping => {
                    if !entry.is_running() {
                        break;
                    }
                }
                _ => return,
            }
        }
        if let Some((_, gone)) = self.entries[place].take() {
            self.start_after(place, gone, Address::Same);
        }
    }

    /// Starts an entry in the place of one that is gone.
    fn start_after(&self, place: usize, gone: Entry, address: Address) {
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
        let settings =
            Settings { seed_addresses: seeds, first_start: false, ..settings };
        drop(gone);
        let mut lives = self.lives.borrow_mut();
        let process = lives.len();
        let from = Instant::now();
        lives.push(Life { place, from, until: None, seeds: known });
        self.replaced.set(self.replaced.get() + 1);
        let entry = (self.start_entry)(settings);
        self.entries[place].replace(Some((process, entry)));
    }

    /// The life of a process.
    pub fn life(&self, process: Process) -> Life {
        self.lives.borrow()[process].clone()
    }

    /// All processes that there were.
    pub fn all(&self) -> std::ops::Range<Process> {
        0..self.lives.borrow().len()
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
