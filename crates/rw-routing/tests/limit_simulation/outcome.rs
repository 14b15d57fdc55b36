//! What arrived at the servers of a simulation.

use super::WINDOW;

#[derive(Debug, Default)]
pub struct Outcome {
    /// Times of arrivals at each server.
    pub arrivals: Vec<Vec<u64>>,
    /// The same without those from entries that are, or have just been, cut off.
    pub in_touch: Vec<Vec<u64>>,
    /// When the first response that names a limit arrived at an entry, for each server.
    pub told_at: Vec<Option<u64>>,
    pub refused: u64,
    pub asks: u64,
}

impl Outcome {
    /// Most arrivals at a server in a window of four seconds between two times.
    pub fn most_in_window(&self, server: usize, from: u64, to: u64) -> usize {
        most_in_window(&self.arrivals[server], from, to)
    }

    /// The same without those from entries that are, or have just been, cut off.
    pub fn most_in_touch(&self, server: usize, from: u64, to: u64) -> usize {
        most_in_window(&self.in_touch[server], from, to)
    }

    /// Arrivals at a server between two times.
    pub fn count(&self, server: usize, from: u64, to: u64) -> usize {
        let arrivals = self.arrivals[server].iter();
        arrivals.filter(|at| (from..to).contains(*at)).count()
    }
}

fn most_in_window(arrivals: &[u64], from: u64, to: u64) -> usize {
    let times = arrivals.iter().copied();
    let times: Vec<u64> = times.filter(|at| (from..to).contains(at)).collect();
    let in_window = |n: usize| times.partition_point(|at| *at <= times[n] + WINDOW) - n;
    (0..times.len()).map(in_window).max().unwrap_or(0)
}

/// What may arrive in four seconds at a server with a limit.
pub fn allowed(limit: f64) -> usize {
    (4.0 * limit + 1.0) as usize
}
