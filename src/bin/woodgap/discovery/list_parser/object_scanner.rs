//! Finds where a JSON object ends, without reading any byte twice.

/// Scans the bytes of one object as they arrive. It only tells where the object ends, not whether it is valid.
#[derive(Default)]
pub struct ObjectScanner {
    /// How many bytes of the object were scanned.
    scanned: usize,
    /// How many objects and arrays are open.
    depth: usize,
    is_in_string: bool,
    /// The last byte was a backslash in a string, which takes its meaning from the next one.
    is_escaped: bool,
}

impl ObjectScanner {
    /// The length of the object that `buffer` starts with, or `None` while its end has not arrived. Each call continues
    /// where the last one stopped, so `buffer` may only have grown since.
    pub fn find_end(&mut self, buffer: &[u8]) -> Option<usize> {
        for &byte in &buffer[self.scanned..] {
            self.scanned += 1;
            if self.ends_object(byte) {
                return Some(self.scanned);
            }
        }
        None
    }

    /// Takes the next byte. Returns whether it closes the object.
    fn ends_object(&mut self, byte: u8) -> bool {
        if self.is_in_string {
            let is_escaped = std::mem::take(&mut self.is_escaped);
            match byte {
                b'\\' => self.is_escaped = !is_escaped,
                b'"' => self.is_in_string = is_escaped,
                _ => {}
            }
            return false;
        }
        match byte {
            b'"' => self.is_in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }
}
