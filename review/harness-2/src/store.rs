//! A stand-in for the platform's store: keys, ranges, watches, history and restores from a copy.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, base64, read_message};

/// How long changes are kept, as `history_s` of the settings says.
const HISTORY: Duration = Duration::from_secs(20);
/// The limits of one page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct Item {
    /// The JSON fields of the item, without the braces.
    json: Arc<str>,
    revision: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    item: Item,
    at: Instant,
}

#[derive(Clone, Debug, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    revision: u64,
    /// Changes up to this revision are no longer in the history.
    dropped: u64,
}

/// A copy of the store's content.
#[derive(Clone, Debug)]
pub struct Copy(Content);

#[derive(Debug, Default)]
struct State {
    content: Content,
    era: u64,
    /// Raised to cut the watches that wait.
    cuts: u64,
    /// Whether the store is away: connections are closed without an answer.
    is_away: bool,
}

#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, shared: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key; the return is the confirmation.
    pub fn put(&self, key: &str, value: &[u8]) -> Instant {
        self.change(key, Some(value))
    }

    /// Removes a key; the return is the confirmation.
    pub fn delete(&self, key: &str) -> Instant {
        self.change(key, None)
    }

    /// Closes the connections of all watches that wait, without an answer.
    pub fn cut_watches(&self) {
        self.shared.0.lock().unwrap().cuts += 1;
        self.shared.1.notify_all();
    }

    /// Returns a copy of the present content.
    pub fn copy(&self) -> Copy {
        Copy(self.shared.0.lock().unwrap().content.clone())
    }

    /// The store is away from now on.
    pub fn go_away(&self) {
        self.shared.0.lock().unwrap().is_away = true;
        self.cut_watches();
    }

    /// The store is back, from a copy.
    pub fn come_back_from(&self, copy: Copy) {
        let mut state = self.shared.0.lock().unwrap();
        state.content = copy.0;
        state.era += 1;
        state.is_away = false;
    }

    fn change(&self, key: &str, value: Option<&[u8]>) -> Instant {
        let encoded = value.map(base64);
        let mut state = self.shared.0.lock().unwrap();
        let content = &mut state.content;
        content.revision += 1;
        let revision = content.revision;
        let json = match encoded {
            Some(text) => format!(
                "\"key\":\"{key}\",\"value\":\"{text}\",\"revision\":{revision},\"created\":{revision},\"lease\":0"
            ),
            None => format!("\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true"),
        };
        let item = Item { json: json.into(), revision };
        if value.is_some() {
            content.items.insert(key.to_owned(), item.clone());
        } else {
            content.items.remove(key);
        }
        let now = Instant::now();
        content.history.push(Change { key: key.to_owned(), item, at: now });
        drop(state);
        self.shared.1.notify_all();
        now
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut write = stream.try_clone().ok()?;
        let mut read = BufReader::new(stream);
        while let Some(message) = read_message(&mut read).ok()? {
            // A call that gets no answer: the connection is closed.
            let (status, body) = self.answer(&message)?;
            let era = self.shared.0.lock().unwrap().era + 1;
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            write.write_all(head.as_bytes()).ok()?;
            write.write_all(body.as_bytes()).ok()?;
        }
        Some(())
    }

    fn answer(&self, message: &Message) -> Option<(u16, String)> {
        if self.shared.0.lock().unwrap().is_away {
            return None;
        }
        let (call, query) = message.first[1].split_once('?').unwrap_or((&message.first[1], ""));
        let parameter = |name: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
            percent_decode(pair.map_or("", |(_, value)| value))
        };
        match call {
            "/egretcross/kv-range" => Some(self.range(&parameter("prefix"), &parameter("after"))),
            "/egretcross/kv-watch" => {
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                self.watch(&parameter("prefix"), parameter("after").parse().ok()?, wait)
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let mut page = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, item) in &state.content.items {
            if key.starts_with(prefix) && key.as_str() > after {
                has_more = page.len() == PAGE_ITEMS || bytes >= PAGE_BYTES;
                if has_more {
                    break;
                }
                bytes += item.json.len();
                page.push(format!("{{{}}}", item.json));
            }
        }
        let at_rev = state.content.revision;
        (200, format!("{{\"items\":[{}],\"has_more\":{has_more},\"at_rev\":{at_rev}}}", page.join(",")))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        let cuts = state.cuts;
        loop {
            if state.cuts != cuts || state.is_away {
                return None;
            }
            let now = Instant::now();
            let content = &mut state.content;
            let old = content.history.iter().take_while(|change| now > change.at + HISTORY).count();
            if let Some(last) = content.history.drain(..old).next_back() {
                content.dropped = last.item.revision;
            }
            if after < content.dropped || after > content.revision {
                return Some((410, "{}".to_owned()));
            }
            let new = content.history.iter().filter(|change| change.item.revision > after);
            let new = new.filter(|change| change.key.starts_with(prefix));
            let events: Vec<String> = new.map(|change| format!("{{{}}}", change.item.json)).collect();
            if !events.is_empty() || now >= until {
                let at_rev = content.revision;
                return Some((200, format!("{{\"events\":[{}],\"at_rev\":{at_rev}}}", events.join(","))));
            }
            state = self.shared.1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
