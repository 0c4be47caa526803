//! Reading a settings file into sections and entries that keep their positions in the file.

mod section_reader;
mod setting_error;
mod setting_file;

pub(crate) use section_reader::SectionReader;
pub use setting_error::{SettingError, SettingErrors};
pub use setting_file::SettingFile;
pub(crate) use setting_file::{SettingEntry, SettingSection};
