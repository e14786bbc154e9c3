//! Reads the headers with which callers resume streams.

use crate::dialect::MalformedRequest;
use hyper::header::HeaderMap;

/// The names of the headers with which callers resume streams in a protocol.
#[derive(Debug, Clone, Copy)]
pub struct ResumptionHeaders {
    /// The number of the last event that the caller received.
    pub last_event: &'static str,
    /// The ID of the request that brought the first event.
    pub resumes: &'static str,
}

impl ResumptionHeaders {
    /// Returns the number of the last event that the caller received; `None` if the header is absent
    /// or empty.
    ///
    /// # Errors
    /// If the value is not a number.
    pub fn last_event(&self, headers: &HeaderMap) -> Result<Option<u64>, MalformedRequest> {
        let text = read(headers, self.last_event)?.filter(|text| !text.is_empty());
        let malformed = MalformedRequest::Header { name: self.last_event };
        text.map(|text| text.parse().map_err(|_| malformed)).transpose()
    }

    /// Returns the ID of the request that brought the stream's first event; `None` if the header is
    /// absent.
    ///
    /// # Errors
    /// If the value is empty.
    pub fn resumed_request(&self, headers: &HeaderMap) -> Result<Option<String>, MalformedRequest> {
        match read(headers, self.resumes)? {
            Some("") => Err(MalformedRequest::Header { name: self.resumes }),
            id => Ok(id.map(str::to_owned)),
        }
    }
}

/// Returns the trimmed value of a header; `None` if it is absent.
fn read<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, MalformedRequest> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| MalformedRequest::Header { name })?;
    Ok(Some(text.trim()))
}
