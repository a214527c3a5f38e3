//! Adapter between the simulator and the policy: runs one [`woodgap::Balancer`] for each simulated node
//! and translates between its events and actions and the simulator's lines. It makes no decisions.
//!
//! Standard input consists of batches of lines from `BEGIN_BATCH` to `EOF_BATCH`. The output of a batch is
//! the lines of its actions and an `END` line, after which standard output is flushed. On invalid input the
//! program stops with one message on standard error and exit code 1.
#![forbid(unsafe_code)]

mod wire;

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;
use std::rc::Rc;

use wire::Fields;
use woodgap::settings::{self, InputError, RequestNames, SettingPairs, ZoneIds};
use woodgap::{Action, Balancer, Event, Member, Micros};

/// Size of the buffers for standard input and output.
const IO_BUFFER_BYTES: usize = 1 << 18;
/// Entries for which memory is reserved before a list is read: the count in the input may be wrong.
const MAX_RESERVED_MEMBERS: usize = 4096;

/// A running node.
struct Node {
    balancer: Balancer,
    request_names: RequestNames,
}

/// The state that persists from line to line.
#[derive(Default)]
struct Host {
    nodes: HashMap<u64, Node>,
    /// Server lists from `POOL` lines, by the number that the simulator gave them.
    server_lists: HashMap<u64, Rc<Vec<Member>>>,
    zone_ids: ZoneIds,
    now: Micros,
    batch: u64,
    is_in_batch: bool,
    /// The node to which events go, as set by the last `CONTEXT` line.
    context_node: Option<u64>,
    /// The node that the last `ON_BEHALF` line of the output names.
    output_node: Option<u64>,
    /// Buffer for the actions of one event, empty between events.
    actions: Vec<Action>,
}

/// What the main loop does after a line.
enum AfterLine {
    Continue,
    FlushOutput,
}

impl Host {
    /// Handles a line of the input; a `POOL` line consumes the lines of its entries as well.
    fn handle_line<R: BufRead, W: Write>(
        &mut self,
        line: &str,
        input: &mut Lines<R>,
        out: &mut W,
    ) -> Result<AfterLine, InputError> {
        let mut fields = Fields::new(line);
        let message = fields.read_text("message")?;
        if !self.is_in_batch {
            if message != "BEGIN_BATCH" {
                return Err(InputError::new(format!("'{message}' outside a batch")));
            }
            self.now = fields.read_number("time")?;
            self.batch = fields.read_number("batch")?;
            fields.expect_end()?;
            (self.context_node, self.output_node, self.is_in_batch) = (None, None, true);
            return Ok(AfterLine::Continue);
        }
        match message {
            "EOF_BATCH" => {
                fields.expect_end()?;
                writeln!(out, "END {}", self.batch)?;
                self.is_in_batch = false;
                return Ok(AfterLine::FlushOutput);
            }
            "CONTEXT" => {
                self.context_node = Some(fields.read_number("node")?);
                fields.expect_end()?;
            }
            "POOL" => {
                let list = fields.read_number("list")?;
                let count: usize = fields.read_number("members-list")?;
                fields.expect_end()?;
                let mut members = Vec::with_capacity(count.min(MAX_RESERVED_MEMBERS));
                for _ in 0..count {
                    let line = input
                        .next_line()?
                        .ok_or_else(|| InputError::new("end of input inside a list".into()))?;
                    members.push(wire::parse_member(line, &mut self.zone_ids)?);
                }
                self.server_lists.insert(list, Rc::new(members));
            }
            "SPAWN" => {
                let node = self.context_node()?;
                let seed = fields.read_number("nonce64")?;
                let pairs = SettingPairs::parse_line(fields.take_rest())?;
                let (settings, request_names) = settings::parse_settings(&pairs)?;
                let balancer = Balancer::new(settings, seed);
                self.nodes.insert(node, Node { balancer, request_names });
            }
            "DOWN" => {
                fields.expect_end()?;
                let node = self.context_node()?;
                if self.nodes.remove(&node).is_none() {
                    return Err(never_started_error(node));
                }
            }
            _ => {
                let id = self.context_node()?;
                let node = self.nodes.get_mut(&id).ok_or_else(|| never_started_error(id))?;
                let event = wire::parse_event(message, &mut fields, &node.request_names, &self.server_lists)?;
                fields.expect_end()?;
                self.deliver(id, event, out)?;
            }
        }
        Ok(AfterLine::Continue)
    }

    fn context_node(&self) -> Result<u64, InputError> {
        self.context_node.ok_or_else(|| InputError::new("an event before any CONTEXT".into()))
    }

    /// Passes an event to the node and writes the node's actions.
    fn deliver<W: Write>(&mut self, id: u64, event: Event, out: &mut W) -> Result<(), InputError> {
        let Some(node) = self.nodes.get_mut(&id) else {
            return Ok(());
        };
        node.balancer.on_event(self.now, event, &mut self.actions);
        if self.actions.is_empty() {
            return Ok(());
        }
        if self.output_node != Some(id) {
            writeln!(out, "ON_BEHALF {id}")?;
            self.output_node = Some(id);
        }
        for action in self.actions.drain(..) {
            wire::write_action(out, &action)?;
        }
        Ok(())
    }
}

fn never_started_error(node: u64) -> InputError {
    InputError::new(format!("node {node} was never started"))
}

/// Reads the input line by line and counts the lines for error messages.
struct Lines<R> {
    input: R,
    buffer: String,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    fn next_line(&mut self) -> Result<Option<&str>, InputError> {
        self.buffer.clear();
        self.number += 1;
        if self.input.read_line(&mut self.buffer)? == 0 {
            return Ok(None);
        }
        Ok(Some(self.buffer.trim_end_matches(['\n', '\r'])))
    }
}

fn run<R: BufRead, W: Write>(input: &mut Lines<R>, out: &mut W) -> Result<(), InputError> {
    let mut host = Host::default();
    loop {
        let Some(line) = input.next_line()? else {
            if host.is_in_batch {
                return Err(InputError::new("end of input inside a batch".into()));
            }
            return Ok(());
        };
        if line.is_empty() {
            continue;
        }
        let line = line.to_owned();
        if let AfterLine::FlushOutput = host.handle_line(&line, input, out)? {
            out.flush()?;
        }
    }
}

fn main() -> ExitCode {
    let input = BufReader::with_capacity(IO_BUFFER_BYTES, io::stdin().lock());
    let mut lines = Lines { input, buffer: String::new(), number: 0 };
    let mut out = BufWriter::with_capacity(IO_BUFFER_BYTES, io::stdout().lock());
    match run(&mut lines, &mut out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woodgap-simhost: line {}: {error}", lines.number);
            ExitCode::FAILURE
        }
    }
}
