//! Record of what was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A run of a task on a worker.
#[derive(Clone)]
pub struct Run {
    pub worker: String,
    pub run: u64,
    pub checkpoint: String,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

struct Content {
    file: File,
    runs: BTreeMap<String, Vec<Run>>,
    quiet_tasks: String,
}

/// Record of a case. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    content: Arc<Mutex<Content>>,
    start: Instant,
}

impl Record {
    /// Creates the file. Starts and ends of tasks whose names begin with `quiet_tasks` are counted but not written.
    pub fn create(path: &Path, quiet_tasks: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        let quiet_tasks = quiet_tasks.to_owned();
        let content = Content { file, runs: BTreeMap::new(), quiet_tasks };
        Record { content: Arc::new(Mutex::new(content)), start: Instant::now() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Content> {
        self.content.lock().expect("no panic while locked")
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.seconds(Instant::now());
        let _ = writeln!(self.lock().file, "{seconds:8.3} s  {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn started(&self, worker: &str, task: &str, run: u64, checkpoint: &str) {
        let mut content = self.lock();
        let entry = Run {
            worker: worker.to_owned(),
            run,
            checkpoint: checkpoint.to_owned(),
            started: Instant::now(),
            ended: None,
        };
        content.runs.entry(task.to_owned()).or_default().push(entry);
        let quiet = !content.quiet_tasks.is_empty() && task.starts_with(&content.quiet_tasks);
        drop(content);
        if !quiet {
            self.line(&format!("{worker} starts {task} run {run} checkpoint \"{checkpoint}\""));
        }
    }

    pub fn ended(&self, worker: &str, task: &str, how: &'static str) {
        let mut content = self.lock();
        if let Some(run) = content.runs.get_mut(task).and_then(|runs| {
            runs.iter_mut().rev().find(|run| run.worker == worker && run.ended.is_none())
        }) {
            run.ended = Some((Instant::now(), how));
        }
        let quiet = !content.quiet_tasks.is_empty() && task.starts_with(&content.quiet_tasks);
        drop(content);
        if !quiet {
            self.line(&format!("{worker} ends {task}: {how}"));
        }
    }

    /// Returns the runs of the tasks whose names begin with `prefix`.
    pub fn runs(&self, prefix: &str) -> Vec<(String, Run)> {
        let content = self.lock();
        let runs = content.runs.iter().filter(|(task, _)| task.starts_with(prefix));
        runs.flat_map(|(task, runs)| runs.iter().map(|run| (task.clone(), run.clone()))).collect()
    }
}
