//! Portals that send orders to a worker with a directory.

use crate::ldap::{request_by, start_with_configuration, Ldap};
use crate::{forward, Ajp};
use ldap3_proto::proto::LdapResultCode;
use port_worker::net::upstreams::ajp_codec::Forward;
use std::net::TcpListener;
use test_support::{add_second_tenant, Client, Executor, RequestBuilder, WorkerUnderTest};

/// A worker with two tenants, its executor and its directory.
pub struct WorkerWithDirectory {
    pub worker: WorkerUnderTest,
    pub executor: Executor,
    listener: Option<TcpListener>,
    ldap: Option<Ldap>,
}

impl WorkerWithDirectory {
    /// Starts a worker with these additional lines of the directory's block.
    pub fn start(directory: &str) -> WorkerWithDirectory {
        WorkerWithDirectory::start_with(directory, |_| {})
    }

    /// Like [`WorkerWithDirectory::start`], with a changed configuration.
    pub fn start_with(directory: &str, change: impl FnOnce(&mut serde_json::Value)) -> WorkerWithDirectory {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let change = |configuration: &mut serde_json::Value| {
            add_second_tenant(configuration);
            change(configuration);
        };
        let worker = start_with_configuration(&listener, directory, change);
        let executor = worker.accept_link();
        WorkerWithDirectory { worker, executor, listener: Some(listener), ldap: None }
    }

    /// Sends an order of a portal on a new connection, without waiting for the directory.
    pub fn send_unanswered(&self, order: &Forward, body: &[u8]) -> Ajp {
        let mut portal = Ajp::connect(self.worker.ajp.unwrap());
        portal.send(order, body);
        portal
    }

    /// Sends an order of a portal on a new connection; the directory assigns the portal to this tenant.
    pub fn send(&mut self, order: &Forward, body: &[u8], tenant: &str) -> Ajp {
        self.send_with_result(order, body, Some(tenant))
    }

    /// Like [`WorkerWithDirectory::send`]; a tenant of `None` means that the directory does not know the portal.
    pub fn send_with_result(&mut self, order: &Forward, body: &[u8], tenant: Option<&str>) -> Ajp {
        let portal = self.send_unanswered(order, body);
        self.ldap().answer_search(order.remote_user.unwrap(), tenant);
        portal
    }

    /// Sends the first attempt of an order of tenant `acme` over HTTP, and ends its run with the result "placed".
    pub fn place_order_over_http(&mut self, key: &str) {
        self.run_over_http(&RequestBuilder::new("order").key(key));
    }

    /// Like [`WorkerWithDirectory::place_order_over_http`], but sends a retry.
    pub fn place_retry_over_http(&mut self, key: &str) {
        self.run_over_http(&RequestBuilder::new("order").key(key).retry());
    }

    fn run_over_http(&mut self, order: &RequestBuilder) {
        let mut router = Client::connect(self.worker.http);
        router.send(order);
        let exec = self.executor.expect_command("EXEC");
        self.executor.send_exit(&exec["job"], "PASS", "placed");
        assert_eq!(router.read_response().body, b"placed");
    }

    /// The worker's link to the directory. The first call accepts it.
    pub fn ldap(&mut self) -> &mut Ldap {
        self.ldap.get_or_insert_with(|| {
            let mut ldap = Ldap::accept(self.listener.as_ref().unwrap());
            ldap.answer_bind(LdapResultCode::Success);
            ldap
        })
    }

    /// Closes the directory and its link.
    pub fn stop_directory(&mut self) {
        self.listener = None;
        self.ldap = None;
    }
}

/// The first attempt of an order of this portal.
pub fn order_of<'a>(portal: &'a str, key: &'a str) -> Forward<'a> {
    Forward { headers: forward("", key).headers, uri: "/portal/order", ..request_by(portal) }
}

pub fn retry_of<'a>(portal: &'a str, key: &'a str) -> Forward<'a> {
    let mut retry = order_of(portal, key);
    retry.headers.push(("X-Resent", b"1"));
    retry
}
