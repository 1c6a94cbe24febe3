//! Structs with named fields that are serialized as arrays without field names.
//!
//! Field names would make up most of an encoded list, which matters on a 1 Mbit/s link. Fields are encoded in
//! declaration order, so they must not be reordered or removed, and adding one requires a new
//! [`PROTOCOL_VERSION`](crate::wire::PROTOCOL_VERSION).

/// Defines a struct that is serialized as an array of its fields, in declaration order. Fields are serialized by
/// reference, without cloning.
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
