//! Slab of values under small `Copy` handles that become invalid when the value is removed.

use azurelug_types::key;

key! {
    /// Index of a slot, and the generation of its value.
    pub(crate) struct Handle {
        index: u32,
        generation: u32,
    }
}

/// Slab with generation counters: the handle of a removed value never refers to a later value in
/// the same slot.
#[derive(Clone, Debug)]
pub(crate) struct Slab<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    pub(crate) fn insert(&mut self, value: T) -> Handle {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() as u32 - 1
        });
        let slot = &mut self.slots[index as usize];
        slot.1 = Some(value);
        Handle {
            index,
            generation: slot.0,
        }
    }

    pub(crate) fn get_mut(&mut self, handle: Handle) -> Option<&mut T> {
        let slot = self.slots.get_mut(handle.index as usize)?;
        slot.1.as_mut().filter(|_| slot.0 == handle.generation)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Handle, &T)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, (generation, value))| {
            let handle = Handle {
                index: index as u32,
                generation: *generation,
            };
            value.as_ref().map(|value| (handle, value))
        })
    }

    pub(crate) fn remove(&mut self, handle: Handle) -> Option<T> {
        let slot = self.slots.get_mut(handle.index as usize)?;
        if slot.0 != handle.generation {
            return None;
        }
        let value = slot.1.take()?;
        slot.0 = slot.0.wrapping_add(1);
        self.free.push(handle.index);
        Some(value)
    }
}
