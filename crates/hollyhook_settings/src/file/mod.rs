//! Reading a file into sections and entries that know where they stand.

mod section_reader;
mod setting_error;
mod setting_file;

pub(crate) use section_reader::SectionReader;
pub use setting_error::{SettingError, SettingErrors};
pub use setting_file::SettingFile;
pub(crate) use setting_file::{SettingEntry, SettingSection};
