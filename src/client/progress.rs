/// What a caller learns about a streamed response while it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress<'a> {
    /// The next piece of text.
    Text(&'a str),
    /// Only this beginning of the text so far stays valid.
    Restart(&'a str),
}
