/// An update of the text of a streamed response while it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress<'a> {
    /// The next piece of text.
    Text(&'a str),
    /// Only this prefix of the text received so far remains valid.
    Restart(&'a str),
}
