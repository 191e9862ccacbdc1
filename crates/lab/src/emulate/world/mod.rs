//! Emulates the directors of one location and caches with shared links in virtual time. The shipped director
//! code decides, the rest of the system is a model. A run is determined by its seed.

mod attempts;
mod caches;
mod faults;
mod fronts;
mod requests;
mod schedule;
mod transfers;
mod upstream;

use super::scenario::Scenario;
use super::statistics::{Statistics, WINDOW_S};
use caches::Cache;
use fronts::Front;
use onyxyoke::interface::{Event, Settings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Zipf;
use requests::{OpenRequest, RequestKey};
use schedule::{Schedule, ScheduledEvent};
use std::collections::HashMap;
use transfers::TransferTable;
use upstream::Upstream;

/// The state of a run of one scenario.
pub struct World {
    scenario: Scenario,
    settings: Settings,
    random: SmallRng,
    popularity: Zipf<f64>,
    schedule: Schedule,
    fronts: Vec<Front>,
    /// Fronts with this index or a higher one are in service.
    first_front_in_service: usize,
    caches: Vec<Cache>,
    upstream: Upstream,
    open: HashMap<RequestKey, OpenRequest>,
    transfers: TransferTable,
    /// Share of the requests that ask for the hot object.
    hot_share: f64,
    pub statistics: Statistics,
}

impl World {
    /// Creates a world without requests. `settings` are those of one front; the values that follow from the
    /// scenario and each front's number are filled in.
    pub fn new(scenario: Scenario, settings: Settings) -> World {
        let caches: Vec<Cache> =
            (0..scenario.caches).map(|index| Cache::new(index, scenario.link_size(index))).collect();
        let mut world = World {
            settings: shared_settings(&scenario, &caches, settings),
            random: SmallRng::seed_from_u64(scenario.seed),
            popularity: Zipf::new(scenario.objects as f64, scenario.zipf_exponent)
                .expect("the Zipf exponent or the number of objects is out of range"),
            schedule: Schedule::new(),
            fronts: Vec::new(),
            first_front_in_service: 0,
            caches,
            upstream: Upstream::default(),
            open: HashMap::new(),
            transfers: TransferTable::default(),
            hot_share: 0.0,
            statistics: Statistics::new(scenario.caches),
            scenario,
        };
        world.start_fronts();
        world.schedule_faults();
        world.schedule.after(WINDOW_S, ScheduledEvent::WindowEnd);
        world.schedule.after(WINDOW_S, ScheduledEvent::WarmUpStep);
        world
    }

    fn start_fronts(&mut self) {
        for index in 0..self.scenario.fronts {
            let request_rate = fronts::request_rate(&self.scenario, index);
            let director = self.new_director(index);
            let sent_kb = vec![0.0; self.caches.len()];
            self.fronts.push(Front { director, request_rate, sent_kb });
            let first_arrival = self.random.random_range(0.0..1.0) / request_rate;
            self.schedule.after(first_arrival, ScheduledEvent::Arrival(index));
        }
    }

    fn schedule_faults(&mut self) {
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.schedule.after(fault.from, ScheduledEvent::FaultStart(index));
            self.schedule.after(fault.until, ScheduledEvent::FaultEnd(index));
        }
    }

    /// Processes events until the end of the scenario.
    pub fn play(&mut self) {
        let end = self.schedule.now() + self.scenario.duration;
        while let Some(event) = self.schedule.advance() {
            if self.schedule.now() >= end {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival(front) => self.handle_arrival(front),
            ScheduledEvent::Timer(front, token) => self.notify_front(front, Event::TimerFired { token }),
            ScheduledEvent::TransferStart(id) => self.start_transfer(id),
            ScheduledEvent::LinkProgress(cache, version) => self.finish_transfers(cache, version),
            ScheduledEvent::AttemptEnd(transfer, outcome) => self.end_attempt(transfer, outcome),
            ScheduledEvent::Deadline(request) => self.expire(request),
            ScheduledEvent::FaultStart(fault) => self.start_fault(fault),
            ScheduledEvent::FaultEnd(fault) => self.end_fault(fault),
            ScheduledEvent::CacheListed(cache) => self.list_cache(cache),
            ScheduledEvent::WarmUpStep => self.warm_up_caches(),
            ScheduledEvent::WindowEnd => self.end_window(),
        }
    }
}

/// Returns the settings that all fronts of the scenario share.
fn shared_settings(scenario: &Scenario, caches: &[Cache], settings: Settings) -> Settings {
    let links: f64 = caches.iter().map(|cache| cache.usual_link).sum();
    Settings {
        directors: scenario.fronts as u16,
        directors_by_zone: vec![0, scenario.fronts as u16],
        zone_link_kb_per_s: vec![0.0, links * settings.answer_kb_per_s],
        ..settings
    }
}
