//! A stand-in for the platform's store: reads, pages and watches, as PROTOCOL.md has them.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};

const PAGE_ITEMS: usize = 50;

#[derive(Clone, Debug)]
struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
}

#[derive(Debug, Default)]
struct State {
    history: Vec<Change>,
    revision: u64,
}

#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self { address: listener.local_addr().expect("an address"), state: Arc::default() };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key; the return is the store's confirmation.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.to_owned()));
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no panic");
        state.revision += 1;
        let revision = state.revision;
        state.history.push(Change { key: key.to_owned(), value, revision });
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut write) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut reader) {
            let (status, body) = self.answer(&call);
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if write.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.second_word().split_once('?').unwrap_or((call.second_word(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value);
            decode_percent(value.unwrap_or_default())
        };
        let number = |name: &str| parameter(name).parse::<u64>().unwrap_or(0);
        match path {
            "/egretcross/kv-range" => (200, self.range(&parameter("prefix"), &parameter("after"))),
            "/egretcross/kv-watch" => self.watch(&parameter("prefix"), number("after"), number("wait_ms")),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().expect("no panic");
        let mut items: BTreeMap<&str, &Change> = BTreeMap::new();
        for change in &state.history {
            items.insert(&change.key, change);
        }
        let mut items: Vec<&Change> = items.into_values().collect();
        items
            .retain(|item| item.value.is_some() && item.key.starts_with(prefix) && item.key.as_str() > after);
        let page: Vec<String> = items.iter().take(PAGE_ITEMS).map(|item| item_json(item)).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":{},\"at_rev\":{}}}",
            page.join(","),
            items.len() > PAGE_ITEMS,
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no panic");
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let new =
                state.history.iter().filter(|item| item.revision > after && item.key.starts_with(prefix));
            let events: Vec<String> = new.map(item_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"at_rev\":{}}}", events.join(","), state.revision));
            }
            state = changed.wait_timeout(state, left).expect("no panic").0;
        }
    }
}

fn item_json(item: &Change) -> String {
    let Change { key, value, revision } = item;
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = tail.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        match (first, code.and_then(|code| u8::from_str_radix(code, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
