//! The counts of a run, in total and by time window.

/// Length of a time window (seconds).
pub const WINDOW_S: f64 = 0.5;

/// The requests that arrived in one window.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestWindow {
    pub arrived: u32,
    /// Those that were answered within their class's aim.
    pub in_time: u32,
}

/// The counts of a run. Work is measured in seconds of sending at full pace.
#[derive(Debug, Default)]
pub struct Statistics {
    /// Work done by cache and window, per unit of the cache's usual link size.
    pub work_by_window: Vec<Vec<f64>>,
    pub request_windows: Vec<RequestWindow>,
    pub requests: u64,
    /// Requests answered within their class's aim.
    pub in_time: u64,
    pub refused: u64,
    pub failed: u64,
    pub work_requested: f64,
    /// Work of the objects that caches filled from parents or the origin.
    pub work_filled: f64,
    /// Work of the objects that parents or caches fetched from the origin.
    pub work_from_origin: f64,
}

impl Statistics {
    /// Creates the counts of a run that has not started.
    pub fn new(caches: usize) -> Self {
        Statistics { work_by_window: vec![Vec::new(); caches], ..Statistics::default() }
    }

    /// Counts a request that arrived `arrived` seconds after the start of the run.
    pub fn record_arrival(&mut self, arrived: f64, work: f64) {
        self.requests += 1;
        self.work_requested += work;
        self.request_window(arrived).arrived += 1;
    }

    /// Counts an answer within its class's aim, to a request that arrived `arrived` seconds after the start
    /// of the run.
    pub fn record_in_time(&mut self, arrived: f64) {
        self.in_time += 1;
        self.request_window(arrived).in_time += 1;
    }

    fn request_window(&mut self, arrived: f64) -> &mut RequestWindow {
        let index = (arrived / WINDOW_S) as usize;
        if self.request_windows.len() <= index {
            self.request_windows.resize(index + 1, RequestWindow::default());
        }
        &mut self.request_windows[index]
    }
}
