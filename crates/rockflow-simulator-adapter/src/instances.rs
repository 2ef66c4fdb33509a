//! The dispatcher instances of the process, and the processing of batches of events for them.

use crate::error::AdapterError;
use crate::wire::decode::{read_entries, read_event, UnresolvedEntry};
use crate::wire::encode::InstanceRecords;
use crate::wire::reader::Reader;
use crate::wire::EventCode;
use rockflow::Dispatcher;
use rockflow_settings::{DeploymentSettings, DottedSettings};
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of endpoint lists that the simulator can define; their numbers count from 0.
const LIST_COUNT: usize = 16;

/// A dispatcher with the settings that its events are decoded by.
struct Instance {
    dispatcher: Dispatcher,
    settings: DeploymentSettings,
}

/// The endpoint lists, which all instances share, and the instances by number.
#[derive(Default)]
pub(crate) struct Instances {
    lists: [Option<Vec<UnresolvedEntry>>; LIST_COUNT],
    /// `None` for an instance whose settings are invalid. Its events are decoded but have no effect.
    instances: BTreeMap<u32, Option<Instance>>,
}

/// The records that the instances reply to a batch.
#[derive(Default)]
struct Reply {
    instances: Vec<InstanceRecords>,
    /// Index of the instance that was named last; `None` before the first.
    current: Option<usize>,
}

impl Reply {
    /// Selects the instance that the following records are for.
    fn select_instance(&mut self, instance: u32) {
        let existing = self.instances.iter().position(|records| records.instance() == instance);
        let index = existing.unwrap_or_else(|| {
            self.instances.push(InstanceRecords::new(instance));
            self.instances.len() - 1
        });
        self.current = Some(index);
    }

    /// The records of the instance that was named last; `None` before the first.
    fn current_records(&mut self) -> Option<&mut InstanceRecords> {
        self.instances.get_mut(self.current?)
    }
}

impl Instances {
    /// Processes the `count` records of a batch at time `now`, and returns the records that each instance replies.
    ///
    /// # Errors
    /// If the batch is malformed, or refers to an instance, endpoint list, location, kind or class that is not known.
    pub(crate) fn process_batch(
        &mut self,
        reader: &mut Reader,
        now: Duration,
        count: u32,
    ) -> Result<Vec<InstanceRecords>, AdapterError> {
        let mut reply = Reply::default();
        for _ in 0..count {
            self.process_record(reader, now, &mut reply)?;
        }
        if !reader.is_empty() {
            return Err(AdapterError::BytesLeftOver { offset: reader.offset() });
        }
        Ok(reply.instances)
    }

    fn process_record(
        &mut self,
        reader: &mut Reader,
        now: Duration,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let offset = reader.offset();
        let code = reader.u16()?;
        let event = EventCode::from_code(code).ok_or(AdapterError::UnknownEventCode { code, offset })?;
        match event {
            EventCode::InstanceNamed => {
                reply.select_instance(reader.u32()?);
                return Ok(());
            }
            EventCode::EndpointList => return self.set_list(reader),
            _ => {}
        }
        let records = reply.current_records().ok_or(AdapterError::NoInstanceNamed { code, offset })?;
        let instance = records.instance();
        match event {
            EventCode::InstanceCreated => self.create(reader, records),
            EventCode::InstanceRetired => {
                // The actions of a removed instance are void, also those from earlier in this batch.
                self.instances.remove(&instance);
                records.clear();
                Ok(())
            }
            _ => {
                let Some(instance) = self.instances.get_mut(&instance) else {
                    return Err(AdapterError::InstanceNotRunning { code, instance, offset });
                };
                let settings = instance.as_ref().map(|instance| &instance.settings);
                let event = read_event(reader, event, &self.lists, settings)?;
                if let (Some(instance), Some(event)) = (instance, event) {
                    records.push_actions(&instance.dispatcher.handle(now, event));
                }
                Ok(())
            }
        }
    }

    /// Reads an endpoint list and stores it under its number.
    fn set_list(&mut self, reader: &mut Reader) -> Result<(), AdapterError> {
        let offset = reader.offset();
        let list = usize::from(reader.u8()?);
        let entries = read_entries(reader)?;
        let max = LIST_COUNT - 1;
        let stored = self.lists.get_mut(list).ok_or(AdapterError::ListNumberTooHigh { list, max, offset })?;
        *stored = Some(entries);
        Ok(())
    }

    /// Reads the seed and settings of an instance and starts it. If the settings are invalid, the reply says so.
    fn create(&mut self, reader: &mut Reader, records: &mut InstanceRecords) -> Result<(), AdapterError> {
        let seed = reader.u64()?;
        let length = reader.u32()? as usize;
        let text = String::from_utf8_lossy(reader.bytes(length)?);
        let instance = match DeploymentSettings::parse(&DottedSettings::from_lines(&text)) {
            Ok(settings) => {
                let mut dispatcher = Dispatcher::new(settings.deployment.clone(), seed);
                records.push_actions(&dispatcher.start());
                Some(Instance { dispatcher, settings })
            }
            Err(error) => {
                records.push_settings_rejected(&error.to_string());
                None
            }
        };
        self.instances.insert(records.instance(), instance);
        Ok(())
    }
}
