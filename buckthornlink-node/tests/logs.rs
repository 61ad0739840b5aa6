//! Log lines are bounded and never block, whatever the reader does.

use std::io;
use std::sync::{Arc, Mutex};

use buckthornlink_node::logs::{BufferedAppender, Output};

/// A pipe whose reader takes nothing until it is opened.
#[derive(Clone, Debug, Default)]
struct Pipe {
    is_open: Arc<Mutex<bool>>,
    read: Arc<Mutex<Vec<u8>>>,
}

impl Output for Pipe {
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        if !*self.is_open.lock().unwrap() {
            return Ok(0);
        }
        self.read.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }
}

#[test]
fn lines_that_a_stalled_reader_does_not_take_are_dropped_and_counted() {
    let pipe = Pipe::default();
    let log = BufferedAppender::new(pipe.clone());
    let line = [b'x'; 1_000];
    for _ in 0..1_000 {
        log.push(&line);
        log.write_out();
    }
    *pipe.is_open.lock().unwrap() = true;
    log.write_out();
    log.write_out();
    let text = String::from_utf8(pipe.read.lock().unwrap().clone()).unwrap();
    let kept = text.lines().filter(|l| l.starts_with('x')).count();
    let said = format!("\"count\":{}", 1_000 - kept);
    assert!(kept > 200 && kept < 300, "{kept} lines kept");
    assert!(text.lines().last().unwrap().contains(&said), "{said}");
}
