//! Reads the platform's list of targets within the call rate that all daemons share.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::h1::client::Connection;
use azurelug_platform::list;
use azurelug_types::deployment::Target;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::gateways::Gateways;
use crate::settings::TargetList;

/// Pause after the first failed read; it is doubled after each further failure.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Maximum pause after failed reads.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Fraction of the platform's call rate that all control daemons together use.
const RATE_FRACTION: f64 = 0.5;

/// Timeout of the request for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(600);

/// Size limit of a page in bytes.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of pages of one list.
const MAX_PAGES: usize = 200;

/// Why a list could not be read.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Http(#[from] azurelug_http::h1::client::Error),
    #[error("no answer in {} ms", PAGE_TIMEOUT.as_millis())]
    TimedOut,
    #[error("status {0}")]
    Status(StatusCode),
    #[error("the response body is incomplete or too large: {0}")]
    Truncated(String),
    #[error("not a list: {0}")]
    Malformed(#[from] list::Error),
    #[error("no request for a page can be built: {0}")]
    Request(#[from] http::Error),
    #[error("the token of a page is repeated; its pages form a loop")]
    RepeatedToken,
    #[error("more than {MAX_PAGES} pages")]
    TooManyPages,
}

/// Reads the list whenever this daemon is due to, until the process ends. While the platform does
/// not answer, its last list stays in use.
pub async fn read_targets(gateways: Gateways, settings: TargetList) {
    let mut connection = None;
    let mut failures = 0_u32;
    let mut last_skipped = 0;
    loop {
        let wait = gateways.time_until_read();
        if !wait.is_zero() {
            // Another daemon may send a newer list in the meantime.
            sleep(wait).await;
            continue;
        }
        let fetched = fetch_list(&mut connection, settings.address).await;
        let pages = match fetched {
            Ok((targets, pages, skipped)) => {
                if failures > 0 {
                    log::info!("control: list of targets read again after {failures} failures");
                }
                if skipped != last_skipped {
                    log::warn!("control: {skipped} entries of the list name no target");
                    last_skipped = skipped;
                }
                failures = 0;
                gateways.set_targets(targets);
                pages
            }
            Err(error) => {
                connection = None;
                if failures == 0 {
                    log::warn!("control: list of targets: {error}; the last one counts");
                }
                failures += 1;
                1
            }
        };
        let rate = settings.calls_per_second * RATE_FRACTION;
        let rate_interval =
            Duration::from_secs_f64((pages * gateways.control_count()) as f64 / rate);
        let backoff = FIRST_RETRY_PAUSE * (1 << failures.saturating_sub(1).min(2));
        let pause = if failures > 0 { backoff } else { rate_interval };
        let jitter = rand::rng().random_range(0.9..1.1);
        sleep(
            pause
                .min(MAX_RETRY_PAUSE)
                .max(rate_interval)
                .mul_f64(jitter),
        )
        .await;
    }
}

/// Returns all targets, the number of pages, and the number of entries without a target.
async fn fetch_list(
    connection: &mut Option<Connection>,
    address: SocketAddr,
) -> Result<(Vec<Target>, usize, usize), Error> {
    let mut targets = Vec::new();
    let mut skipped = 0;
    let mut token: Option<String> = None;
    let mut tokens = HashSet::new();
    for pages in 1..=MAX_PAGES {
        let bytes = timeout(
            PAGE_TIMEOUT,
            fetch_page(connection, address, token.as_deref()),
        );
        let bytes = bytes.await.map_err(|_| Error::TimedOut)??;
        let page = list::read(&bytes)?;
        targets.extend(page.targets);
        skipped += page.invalid_entries;
        let Some(next) = page.next else {
            return Ok((targets, pages, skipped));
        };
        if !tokens.insert(next.clone()) {
            return Err(Error::RepeatedToken);
        }
        token = Some(next);
    }
    Err(Error::TooManyPages)
}

async fn fetch_page(
    idle: &mut Option<Connection>,
    address: SocketAddr,
    token: Option<&str>,
) -> Result<Bytes, Error> {
    let mut connection = match idle.take().filter(|connection| !connection.is_closed()) {
        Some(connection) => connection,
        None => Connection::open(address, PAGE_TIMEOUT, PAGE_TIMEOUT).await?,
    };
    let request = Request::get(list::path(token))
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))?;
    let response = connection.send(request).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_PAGE_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| Error::Truncated(error.to_string()))?;
    if connection.wait_ready().await {
        *idle = Some(connection);
    }
    Ok(body.to_bytes())
}
