//! Structs with named fields in the code that are arrays without names on the wire.
//!
//! On a link of 1 Mbit/s field names would be most of a list. The order of the fields is the order on the wire:
//! a field is never moved or taken out, and a new one is a new [`PROTOCOL_VERSION`](crate::wire::PROTOCOL_VERSION).

/// Defines a struct that is serialized as an array of its fields, in the order in which they stand. Fields are
/// written by reference: nothing is cloned.
macro_rules! array_struct {
    (
        $(#[$meta:meta])*
        $visibility:vis struct $name:ident {
            $($(#[$field_meta:meta])* $field_visibility:vis $field:ident: $type:ty,)+
        }
    ) => {
        $(#[$meta])*
        $visibility struct $name {
            $($(#[$field_meta])* $field_visibility $field: $type,)+
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                ($(&self.$field,)+).serialize(serializer)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let ($($field,)+) = <($($type,)+)>::deserialize(deserializer)?;
                Ok(Self { $($field,)+ })
            }
        }
    };
}

pub(crate) use array_struct;
