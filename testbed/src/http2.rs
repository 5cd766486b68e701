//! Callers over HTTP/2: the same requests at the same times as over HTTP/1.1, so many streams on a connection.

use crate::callers::{again, Asked};
use crate::experiment::Experiment;
use crate::measure::End;
use crate::sockets::{end_of, fields, lock, Clock, PATIENCE_S};
use bytes::Bytes;
use h2::client::SendRequest;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// One connection and its open streams.
struct Connection {
    send: SendRequest<Bytes>,
    open: usize,
}

type Connections = Rc<RefCell<Vec<Rc<RefCell<Connection>>>>>;

/// Starts the callers on a thread of their own; it ends when all requests have.
pub fn call(
    experiment: &Experiment,
    asked: &Arc<Vec<Asked>>,
    clock: Clock,
    to: SocketAddr,
    streams: usize,
    ends: &Arc<Mutex<Vec<Option<End>>>>,
) -> thread::JoinHandle<()> {
    let (experiment, asked, ends) = (experiment.clone(), asked.clone(), ends.clone());
    thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let experiment = Rc::new(experiment);
            let connections: Connections = Rc::default();
            let mut tasks = Vec::new();
            for number in 0..asked.len() {
                let left = asked[number].at - clock.now();
                if left > 0.0 {
                    sleep(Duration::from_secs_f64(left)).await;
                }
                let (experiment, asked, ends) = (experiment.clone(), asked.clone(), ends.clone());
                let connections = connections.clone();
                tasks.push(spawn_local(async move {
                    let end =
                        see_through(&experiment, &asked[number], clock, to, streams, &connections).await;
                    lock(&ends)[number] = end;
                }));
            }
            for task in tasks {
                let _ = task.await;
            }
        });
    })
}

/// One request with all its tries; `None` if one of them got no answer in time.
async fn see_through(
    experiment: &Experiment,
    a: &Asked,
    clock: Clock,
    to: SocketAddr,
    streams: usize,
    connections: &Connections,
) -> Option<End> {
    for tries in 1.. {
        let (status, advice_s, poor) = one_try(experiment, a, tries, clock, to, streams, connections).await?;
        let now = clock.now();
        let end = end_of(status, now, poor);
        if status == 200 {
            return Some(end);
        }
        match again(experiment, tries, now, a, advice_s) {
            Some(at) => sleep(Duration::from_secs_f64((at - now).max(0.0))).await,
            None => return Some(end),
        }
    }
    None
}

/// A connection with room for another stream; a new one where there is none.
async fn connection(to: SocketAddr, streams: usize, all: &Connections) -> Option<Rc<RefCell<Connection>>> {
    let free = all.borrow().iter().find(|c| c.borrow().open < streams).cloned();
    if let Some(free) = free {
        free.borrow_mut().open += 1;
        return Some(free);
    }
    let stream = TcpStream::connect(to).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (send, driver) = h2::client::handshake(stream).await.ok()?;
    spawn_local(async move { drop(driver.await) });
    let new = Rc::new(RefCell::new(Connection { send, open: 1 }));
    all.borrow_mut().push(new.clone());
    Some(new)
}

async fn one_try(
    experiment: &Experiment,
    a: &Asked,
    tries: u32,
    clock: Clock,
    to: SocketAddr,
    streams: usize,
    connections: &Connections,
) -> Option<(u16, f64, bool)> {
    let class = &experiment.class[a.class];
    let left_s = (a.at + class.deadline_ms / 1000.0 - clock.now()).max(0.01);
    let mine = connection(to, streams, connections).await?;
    let exchange = async {
        let mut request =
            http::Request::builder().method("POST").uri(format!("http://lab/do/{}", class.name));
        for (name, value) in fields(a, class, tries, left_s) {
            request = request.header(name, value);
        }
        let send = mine.borrow().send.clone();
        let mut send = send.ready().await.ok()?;
        let (answer, mut body) = send.send_request(request.body(()).ok()?, false).ok()?;
        body.send_data(Bytes::from(a.work.body()), true).ok()?;
        let answer = answer.await.ok()?;
        let status = answer.status().as_u16();
        let advice = answer.headers().get("x-pushback-ms").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let (mut answer, mut result) = (answer.into_body(), Vec::new());
        while let Some(data) = answer.data().await {
            let data = data.ok()?;
            let _ = answer.flow_control().release_capacity(data.len());
            result.extend_from_slice(&data);
        }
        Some((status, advice.unwrap_or(0.0) / 1000.0, result == b"poor"))
    };
    let result = timeout(Duration::from_secs_f64(left_s + PATIENCE_S), exchange).await;
    mine.borrow_mut().open -= 1;
    let result = result.ok().flatten();
    if result.is_none() {
        // Whatever is wrong with it, it is not used again.
        connections.borrow_mut().retain(|c| !Rc::ptr_eq(c, &mine));
    }
    result
}
