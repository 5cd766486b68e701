//! Simulated disks of the coordinators: the duration of jobs, and the effect of a power loss.

use super::world::{Event, World};
use fleet_coordinator::ids::DiskJobId;
use fleet_coordinator::replica::{execute_job, DiskJob};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

impl World {
    /// Queues a job at the disk, which carries out one job at a time.
    pub fn schedule_disk_job(&mut self, coordinator: usize, number: DiskJobId, job: DiskJob) {
        let slow = self.now < self.coordinators[coordinator].slow_until;
        let takes_s =
            if slow { self.rng.random_range(1.5..5.0) } else { self.rng.random_range(0.0005..0.006) };
        let process = &mut self.coordinators[coordinator];
        process.busy_until = process.busy_until.max(self.now) + takes_s;
        let at = process.busy_until;
        let incarnation = process.incarnation;
        self.schedule(at, Event::DiskJobCompleted { coordinator, incarnation, number, job });
    }

    /// Carries out a job and reports its result to the coordinator.
    pub fn complete_disk_job(
        &mut self,
        coordinator: usize,
        incarnation: u64,
        number: DiskJobId,
        job: &DiskJob,
    ) {
        if self.coordinators[coordinator].incarnation == incarnation {
            let process = &mut self.coordinators[coordinator];
            let disk = process.disk.clone();
            let completed = execute_job(&mut process.store, job, || Ok(disk));
            self.with_coordinator(coordinator, |machine, now| machine.on_disk_result(now, number, completed));
        }
    }

    /// Drops or truncates, at random, writes that were not synced.
    pub fn lose_power(&mut self, coordinator: usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        let disk = &mut self.coordinators[coordinator].disk;
        disk.lose_power(&mut |n: usize| rng.random_range(0..n.max(1)));
    }
}
