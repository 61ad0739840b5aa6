//! Log lines are buffered up to a limit, and logging does not block when the reader stalls.

use std::io;
use std::sync::{Arc, Mutex};

use buckthornlink_node::logs::{BufferedAppender, Output};

/// A pipe whose reader takes nothing until `is_reading` is set.
#[derive(Clone, Debug, Default)]
struct Pipe {
    is_reading: Arc<Mutex<bool>>,
    read: Arc<Mutex<Vec<u8>>>,
}

impl Output for Pipe {
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        if !*self.is_reading.lock().unwrap() {
            return Ok(0);
        }
        self.read.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }
}

#[test]
fn lines_beyond_the_buffer_are_dropped_and_counted() {
    let pipe = Pipe::default();
    let log = BufferedAppender::new(pipe.clone());
    let line = [b'x'; 1_000];
    for _ in 0..1_000 {
        log.push(&line);
        log.write_out();
    }
    *pipe.is_reading.lock().unwrap() = true;
    log.write_out();
    log.write_out();
    let text = String::from_utf8(pipe.read.lock().unwrap().clone()).unwrap();
    let kept = text.lines().filter(|l| l.starts_with('x')).count();
    let expected = format!("\"count\":{}", 1_000 - kept);
    assert!(kept > 200 && kept < 300, "{kept} lines kept");
    assert!(
        text.lines().last().unwrap().contains(&expected),
        "{expected}"
    );
}
