pub mod admin {
    #![allow(warnings, clippy::all)]
    use ::pilota::{Buf as _, BufMut as _};
    pub mod cowsliproad {
        use ::pilota::{Buf as _, BufMut as _};

        pub mod admin {
            use ::pilota::{Buf as _, BufMut as _};
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct Organisation {
                pub name: ::pilota::FastStr,

                pub keys: ::std::vec::Vec<::pilota::FastStr>,

                pub share: u32,

                pub max_in_flight: u32,
            }
            impl ::pilota::pb::Message for Organisation {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 1, &self.name,
                    ) + ::pilota::pb::encoding::faststr::encoded_len_repeated(
                        ctx, 2, &self.keys,
                    ) + ::pilota::pb::encoding::uint32::encoded_len(
                        ctx,
                        3,
                        &self.share,
                    ) + ::pilota::pb::encoding::uint32::encoded_len(
                        ctx,
                        4,
                        &self.max_in_flight,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(
                        1, &self.name, buf,
                    );
                    ::pilota::pb::encoding::faststr::encode_repeated(
                        2, &self.keys, buf,
                    );
                    ::pilota::pb::encoding::uint32::encode(
                        3,
                        &self.share,
                        buf,
                    );
                    ::pilota::pb::encoding::uint32::encode(
                        4,
                        &self.max_in_flight,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Organisation);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(name));
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.keys;
                            ::pilota::pb::encoding::faststr::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(keys));
                                    error
                                },
                            )
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.share;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(share));
                                    error
                                },
                            )
                        }
                        4 => {
                            let mut _inner_pilota_value =
                                &mut self.max_in_flight;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(max_in_flight),
                                    );
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd,
                Hash,
                Eq,
                Ord,
                Debug,
                Default,
                Clone,
                PartialEq,
                Copy,
            )]
            #[repr(transparent)]
            pub struct Urgency(i32);

            impl Urgency {
                pub const URGENT: Self = Self(0);
                pub const NORMAL: Self = Self(1);
                pub const BACKGROUND: Self = Self(2);

                pub fn inner(&self) -> i32 {
                    self.0
                }

                pub fn to_string(&self) -> ::std::string::String {
                    match self {
                        Self(0) => ::std::string::String::from("URGENT"),
                        Self(1) => ::std::string::String::from("NORMAL"),
                        Self(2) => ::std::string::String::from("BACKGROUND"),
                        Self(val) => val.to_string(),
                    }
                }

                pub fn try_from_i32(
                    value: i32,
                ) -> ::std::option::Option<Self> {
                    match value {
                        0 => ::std::option::Option::Some(Self::URGENT),
                        1 => ::std::option::Option::Some(Self::NORMAL),
                        2 => ::std::option::Option::Some(Self::BACKGROUND),
                        _ => ::std::option::Option::None,
                    }
                }
            }

            impl ::std::convert::From<i32> for Urgency {
                fn from(value: i32) -> Self {
                    Self(value)
                }
            }

            impl ::std::convert::From<Urgency> for i32 {
                fn from(value: Urgency) -> i32 {
                    value.0
                }
            }

            #[derive(
                PartialOrd,
                Hash,
                Eq,
                Ord,
                Debug,
                Default,
                Clone,
                PartialEq,
                Copy,
            )]
            #[repr(transparent)]
            pub struct Backend(i32);

            impl Backend {
                pub const ENGINE: Self = Self(0);
                pub const PLAIN: Self = Self(1);

                pub fn inner(&self) -> i32 {
                    self.0
                }

                pub fn to_string(&self) -> ::std::string::String {
                    match self {
                        Self(0) => ::std::string::String::from("ENGINE"),
                        Self(1) => ::std::string::String::from("PLAIN"),
                        Self(val) => val.to_string(),
                    }
                }

                pub fn try_from_i32(
                    value: i32,
                ) -> ::std::option::Option<Self> {
                    match value {
                        0 => ::std::option::Option::Some(Self::ENGINE),
                        1 => ::std::option::Option::Some(Self::PLAIN),
                        _ => ::std::option::Option::None,
                    }
                }
            }

            impl ::std::convert::From<i32> for Backend {
                fn from(value: i32) -> Self {
                    Self(value)
                }
            }

            impl ::std::convert::From<Backend> for i32 {
                fn from(value: Backend) -> i32 {
                    value.0
                }
            }

            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct StatusRequest {}
            impl ::pilota::pb::Message for StatusRequest {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {}

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    match tag {
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct ListRequest {
                pub kind: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for ListRequest {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 1, &self.kind,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(
                        1, &self.kind, buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(ListRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.kind;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(kind));
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct ChangeReply {
                pub code: u32,

                pub name: ::pilota::FastStr,

                pub ran: ::pilota::FastStr,

                pub revision: u64,

                pub detail: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for ChangeReply {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::uint32::encoded_len(
                        ctx, 1, &self.code,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 2, &self.name,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 3, &self.ran,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        4,
                        &self.revision,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        5,
                        &self.detail,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint32::encode(1, &self.code, buf);
                    ::pilota::pb::encoding::faststr::encode(
                        2, &self.name, buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(3, &self.ran, buf);
                    ::pilota::pb::encoding::uint64::encode(
                        4,
                        &self.revision,
                        buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        5,
                        &self.detail,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(ChangeReply);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.code;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(code));
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(name));
                                    error
                                },
                            )
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.ran;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(ran));
                                    error
                                },
                            )
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.revision;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(revision),
                                    );
                                    error
                                },
                            )
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.detail;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error
                                        .push(STRUCT_NAME, stringify!(detail));
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct Drain {
                pub target: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for Drain {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.target,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(
                        1,
                        &self.target,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Drain);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.target;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error
                                        .push(STRUCT_NAME, stringify!(target));
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct RequestType {
                pub service: ::pilota::FastStr,

                pub name: ::pilota::FastStr,

                pub urgency: Urgency,

                pub deadline_ms: u64,

                pub repeat: Repeat,

                pub senders: ::std::vec::Vec<::pilota::FastStr>,

                pub max_body: u32,
            }
            impl ::pilota::pb::Message for RequestType {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.service,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 2, &self.name,
                    ) + ::pilota::pb::encoding::int32::encoded_len(
                        ctx,
                        3,
                        &self.urgency,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        4,
                        &self.deadline_ms,
                    ) + ::pilota::pb::encoding::int32::encoded_len(
                        ctx,
                        5,
                        &self.repeat,
                    ) + ::pilota::pb::encoding::faststr::encoded_len_repeated(
                        ctx,
                        6,
                        &self.senders,
                    ) + ::pilota::pb::encoding::uint32::encoded_len(
                        ctx,
                        7,
                        &self.max_body,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(
                        1,
                        &self.service,
                        buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        2, &self.name, buf,
                    );
                    ::pilota::pb::encoding::int32::encode(
                        3,
                        &self.urgency,
                        buf,
                    );
                    ::pilota::pb::encoding::uint64::encode(
                        4,
                        &self.deadline_ms,
                        buf,
                    );
                    ::pilota::pb::encoding::int32::encode(
                        5,
                        &self.repeat,
                        buf,
                    );
                    ::pilota::pb::encoding::faststr::encode_repeated(
                        6,
                        &self.senders,
                        buf,
                    );
                    ::pilota::pb::encoding::uint32::encode(
                        7,
                        &self.max_body,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(RequestType);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.service;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(service),
                                    );
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(name));
                                    error
                                },
                            )
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.urgency;
                            ::pilota::pb::encoding::int32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(urgency),
                                    );
                                    error
                                },
                            )
                        }
                        4 => {
                            let mut _inner_pilota_value =
                                &mut self.deadline_ms;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(deadline_ms),
                                    );
                                    error
                                },
                            )
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.repeat;
                            ::pilota::pb::encoding::int32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error
                                        .push(STRUCT_NAME, stringify!(repeat));
                                    error
                                },
                            )
                        }
                        6 => {
                            let mut _inner_pilota_value = &mut self.senders;
                            ::pilota::pb::encoding::faststr::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(senders),
                                    );
                                    error
                                },
                            )
                        }
                        7 => {
                            let mut _inner_pilota_value = &mut self.max_body;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(max_body),
                                    );
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct StatusReply {
                pub entry: ::pilota::FastStr,

                pub next: u64,

                pub log: ::pilota::FastStr,

                pub in_flight: u32,

                pub targets: ::std::vec::Vec<TargetStatus>,
            }
            impl ::pilota::pb::Message for StatusReply {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.entry,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx, 2, &self.next,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 3, &self.log,
                    ) + ::pilota::pb::encoding::uint32::encoded_len(
                        ctx,
                        4,
                        &self.in_flight,
                    ) + ::pilota::pb::encoding::message::encoded_len_repeated(
                        ctx,
                        5,
                        &self.targets,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(
                        1,
                        &self.entry,
                        buf,
                    );
                    ::pilota::pb::encoding::uint64::encode(2, &self.next, buf);
                    ::pilota::pb::encoding::faststr::encode(3, &self.log, buf);
                    ::pilota::pb::encoding::uint32::encode(
                        4,
                        &self.in_flight,
                        buf,
                    );
                    for msg in &self.targets {
                        ::pilota::pb::encoding::message::encode(5, msg, buf);
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(StatusReply);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.entry;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(entry));
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.next;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(next));
                                    error
                                },
                            )
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.log;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(log));
                                    error
                                },
                            )
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.in_flight;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(in_flight),
                                    );
                                    error
                                },
                            )
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.targets;
                            ::pilota::pb::encoding::message::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(targets),
                                    );
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct WatchRequest {}
            impl ::pilota::pb::Message for WatchRequest {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {}

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    match tag {
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(PartialOrd, Debug, Default, Clone, PartialEq)]
            pub struct Entry {
                pub revision: u64,

                pub object: ::std::option::Option<Object>,
            }
            impl ::pilota::pb::Message for Entry {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        1,
                        &self.revision,
                    ) + self.object.as_ref().map_or(0, |msg| {
                        ::pilota::pb::encoding::message::encoded_len(
                            ctx, 2, msg,
                        )
                    })
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint64::encode(
                        1,
                        &self.revision,
                        buf,
                    );
                    if let ::std::option::Option::Some(_pilota_inner_value) =
                        self.object.as_ref()
                    {
                        ::pilota::pb::encoding::message::encode(
                            2,
                            _pilota_inner_value,
                            buf,
                        );
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Entry);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.revision;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(revision),
                                    );
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.object;
                            ::pilota::pb::encoding::message::merge(
                                wire_type,
                                _inner_pilota_value.get_or_insert_with(
                                    ::core::default::Default::default,
                                ),
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error
                                        .push(STRUCT_NAME, stringify!(object));
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct DeleteRequest {
                pub command: u64,

                pub base: u64,

                pub kind: ::pilota::FastStr,

                pub name: ::pilota::FastStr,

                pub mode: Mode,
            }
            impl ::pilota::pb::Message for DeleteRequest {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        1,
                        &self.command,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx, 2, &self.base,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 3, &self.kind,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 4, &self.name,
                    ) + ::pilota::pb::encoding::int32::encoded_len(
                        ctx, 5, &self.mode,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint64::encode(
                        1,
                        &self.command,
                        buf,
                    );
                    ::pilota::pb::encoding::uint64::encode(2, &self.base, buf);
                    ::pilota::pb::encoding::faststr::encode(
                        3, &self.kind, buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        4, &self.name, buf,
                    );
                    ::pilota::pb::encoding::int32::encode(5, &self.mode, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str =
                        stringify!(DeleteRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.command;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(command),
                                    );
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.base;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(base));
                                    error
                                },
                            )
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.kind;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(kind));
                                    error
                                },
                            )
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(name));
                                    error
                                },
                            )
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.mode;
                            ::pilota::pb::encoding::int32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(mode));
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }

            pub trait Admin {
                fn put(
                    &self,
                    req: ::volo_grpc::Request<PutRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<ChangeReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn delete(
                    &self,
                    req: ::volo_grpc::Request<DeleteRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<ChangeReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn get(
                    &self,
                    req: ::volo_grpc::Request<GetRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<Entry>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn list(
                    &self,
                    req: ::volo_grpc::Request<ListRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<ListReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn watch(
                    &self,
                    req: ::volo_grpc::Request<WatchRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<
                            ::volo_grpc::BoxStream<
                                'static,
                                ::std::result::Result<
                                    ListReply,
                                    ::volo_grpc::Status,
                                >,
                            >,
                        >,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn status(
                    &self,
                    req: ::volo_grpc::Request<StatusRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<StatusReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
            }

            pub enum AdminRequestSend {
                Put(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<PutRequest, ::volo_grpc::Status>,
                    >,
                ),
                Delete(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<
                            DeleteRequest,
                            ::volo_grpc::Status,
                        >,
                    >,
                ),
                Get(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<GetRequest, ::volo_grpc::Status>,
                    >,
                ),
                List(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<
                            ListRequest,
                            ::volo_grpc::Status,
                        >,
                    >,
                ),
                Watch(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<
                            WatchRequest,
                            ::volo_grpc::Status,
                        >,
                    >,
                ),
                Status(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<
                            StatusRequest,
                            ::volo_grpc::Status,
                        >,
                    >,
                ),
            }

            impl ::volo_grpc::SendEntryMessage for AdminRequestSend {
                fn into_body(
                    self,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::volo_grpc::BoxStream<
                    'static,
                    ::std::result::Result<
                        ::volo_grpc::codegen::Frame<
                            ::volo_grpc::codegen::Bytes,
                        >,
                        ::volo_grpc::Status,
                    >,
                > {
                    match self {
                        Self::Put(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                        Self::Delete(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                        Self::Get(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                        Self::List(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                        Self::Watch(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                        Self::Status(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                    }
                }
            }

            pub enum AdminRequestRecv {
                Put(::volo_grpc::RecvStream<PutRequest>),
                Delete(::volo_grpc::RecvStream<DeleteRequest>),
                Get(::volo_grpc::RecvStream<GetRequest>),
                List(::volo_grpc::RecvStream<ListRequest>),
                Watch(::volo_grpc::RecvStream<WatchRequest>),
                Status(::volo_grpc::RecvStream<StatusRequest>),
            }

            impl ::volo_grpc::RecvEntryMessage for AdminRequestRecv {
                fn from_body(
                    method: ::std::option::Option<&str>,
                    body: ::volo_grpc::body::BoxBody,
                    kind: ::volo_grpc::codec::decode::Kind,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::std::result::Result<Self, ::volo_grpc::Status>
                {
                    match method {
                        Some("/cowsliproad.admin.Admin/Put") => {
                            ::std::result::Result::Ok(Self::Put(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/cowsliproad.admin.Admin/Delete") => {
                            ::std::result::Result::Ok(Self::Delete(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/cowsliproad.admin.Admin/Get") => {
                            ::std::result::Result::Ok(Self::Get(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/cowsliproad.admin.Admin/List") => {
                            ::std::result::Result::Ok(Self::List(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/cowsliproad.admin.Admin/Watch") => {
                            ::std::result::Result::Ok(Self::Watch(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/cowsliproad.admin.Admin/Status") => {
                            ::std::result::Result::Ok(Self::Status(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        _ => ::std::result::Result::Err(
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ),
                        ),
                    }
                }
            }

            pub enum AdminResponseSend {
                Put(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<
                            ChangeReply,
                            ::volo_grpc::Status,
                        >,
                    >,
                ),
                Delete(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<
                            ChangeReply,
                            ::volo_grpc::Status,
                        >,
                    >,
                ),
                Get(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<Entry, ::volo_grpc::Status>,
                    >,
                ),
                List(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ListReply, ::volo_grpc::Status>,
                    >,
                ),
                Watch(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ListReply, ::volo_grpc::Status>,
                    >,
                ),
                Status(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<
                            StatusReply,
                            ::volo_grpc::Status,
                        >,
                    >,
                ),
            }

            impl ::volo_grpc::SendEntryMessage for AdminResponseSend {
                fn into_body(
                    self,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::volo_grpc::BoxStream<
                    'static,
                    ::std::result::Result<
                        ::volo_grpc::codegen::Frame<
                            ::volo_grpc::codegen::Bytes,
                        >,
                        ::volo_grpc::Status,
                    >,
                > {
                    match self {
                        Self::Put(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                        Self::Delete(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                        Self::Get(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                        Self::List(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                        Self::Watch(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                        Self::Status(s) => ::volo_grpc::codec::encode::encode(
                            s,
                            compression_encoding,
                        ),
                    }
                }
            }

            pub enum AdminResponseRecv {
                Put(::volo_grpc::RecvStream<ChangeReply>),
                Delete(::volo_grpc::RecvStream<ChangeReply>),
                Get(::volo_grpc::RecvStream<Entry>),
                List(::volo_grpc::RecvStream<ListReply>),
                Watch(::volo_grpc::RecvStream<ListReply>),
                Status(::volo_grpc::RecvStream<StatusReply>),
            }

            impl ::volo_grpc::RecvEntryMessage for AdminResponseRecv {
                fn from_body(
                    method: ::std::option::Option<&str>,
                    body: ::volo_grpc::body::BoxBody,
                    kind: ::volo_grpc::codec::decode::Kind,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::std::result::Result<Self, ::volo_grpc::Status>
                where
                    Self: ::core::marker::Sized,
                {
                    match method {
                        Some("/cowsliproad.admin.Admin/Put") => {
                            ::std::result::Result::Ok(Self::Put(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/cowsliproad.admin.Admin/Delete") => {
                            ::std::result::Result::Ok(Self::Delete(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/cowsliproad.admin.Admin/Get") => {
                            ::std::result::Result::Ok(Self::Get(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/cowsliproad.admin.Admin/List") => {
                            ::std::result::Result::Ok(Self::List(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/cowsliproad.admin.Admin/Watch") => {
                            ::std::result::Result::Ok(Self::Watch(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/cowsliproad.admin.Admin/Status") => {
                            ::std::result::Result::Ok(Self::Status(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        _ => ::std::result::Result::Err(
                            ::volo_grpc::Status::new(
                                ::volo_grpc::Code::Unimplemented,
                                "Method not found.",
                            ),
                        ),
                    }
                }
            }

            pub struct AdminClientBuilder {}
            impl AdminClientBuilder {
                pub fn new(
                    service_name: impl AsRef<str>,
                ) -> ::volo_grpc::client::ClientBuilder<
                    ::volo::layer::Identity,
                    ::volo::layer::Identity,
                    MkAdminGenericClient,
                    ::volo_grpc::layer::loadbalance::LbConfig<
                        ::volo::loadbalance::random::WeightedRandomBalance<
                            (::volo::FastStr),
                        >,
                        ::volo_grpc::client::dns::DnsResolver,
                    >,
                    AdminRequestSend,
                    AdminResponseRecv,
                > {
                    ::volo_grpc::client::ClientBuilder::new(
                        MkAdminGenericClient,
                        service_name,
                    )
                }
            }

            pub struct MkAdminGenericClient;

            pub type AdminClient = AdminGenericClient<
                ::volo::service::BoxCloneService<
                    ::volo_grpc::context::ClientContext,
                    ::volo_grpc::Request<AdminRequestSend>,
                    ::volo_grpc::Response<AdminResponseRecv>,
                    ::volo_grpc::Status,
                >,
            >;

            impl<S> ::volo::client::MkClient<::volo_grpc::Client<S>>
                for MkAdminGenericClient
            {
                type Target = AdminGenericClient<S>;
                fn mk_client(
                    &self,
                    service: ::volo_grpc::Client<S>,
                ) -> Self::Target {
                    AdminGenericClient(service)
                }
            }

            #[derive(Clone)]
            pub struct AdminGenericClient<S>(pub ::volo_grpc::Client<S>);

            pub struct AdminOneShotClient<S>(pub ::volo_grpc::Client<S>);

            impl<S> AdminGenericClient<S>
            where
                S: ::volo::service::Service<
                        ::volo_grpc::context::ClientContext,
                        ::volo_grpc::Request<AdminRequestSend>,
                        Response = ::volo_grpc::Response<AdminResponseRecv>,
                        Error = ::volo_grpc::Status,
                    > + Sync
                    + Send
                    + 'static,
            {
                pub fn with_callopt<
                    Opt: ::volo::client::Apply<::volo_grpc::context::ClientContext>,
                >(
                    self,
                    opt: Opt,
                ) -> AdminOneShotClient<::volo::client::WithOptService<S, Opt>>
                {
                    AdminOneShotClient(self.0.with_opt(opt))
                }

                pub async fn put(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<PutRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<ChangeReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Put(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/Put");

                    let resp =
                        ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Put(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(
                        &mut message_stream,
                    )
                    .await
                    .map_err(|mut status| {
                        status.metadata_mut().merge(metadata.clone());
                        status
                    })?
                    .ok_or_else(|| {
                        ::volo_grpc::Status::new(
                            ::volo_grpc::Code::Internal,
                            "Missing response message.",
                        )
                    })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata, extensions, message,
                        ),
                    )
                }
                pub async fn delete(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<DeleteRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<ChangeReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Delete(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/Delete");

                    let resp =
                        ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Delete(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(
                        &mut message_stream,
                    )
                    .await
                    .map_err(|mut status| {
                        status.metadata_mut().merge(metadata.clone());
                        status
                    })?
                    .ok_or_else(|| {
                        ::volo_grpc::Status::new(
                            ::volo_grpc::Code::Internal,
                            "Missing response message.",
                        )
                    })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata, extensions, message,
                        ),
                    )
                }
                pub async fn get(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<GetRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<Entry>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Get(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/Get");

                    let resp =
                        ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Get(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(
                        &mut message_stream,
                    )
                    .await
                    .map_err(|mut status| {
                        status.metadata_mut().merge(metadata.clone());
                        status
                    })?
                    .ok_or_else(|| {
                        ::volo_grpc::Status::new(
                            ::volo_grpc::Code::Internal,
                            "Missing response message.",
                        )
                    })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata, extensions, message,
                        ),
                    )
                }
                pub async fn list(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<ListRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<ListReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::List(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/List");

                    let resp =
                        ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::List(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(
                        &mut message_stream,
                    )
                    .await
                    .map_err(|mut status| {
                        status.metadata_mut().merge(metadata.clone());
                        status
                    })?
                    .ok_or_else(|| {
                        ::volo_grpc::Status::new(
                            ::volo_grpc::Code::Internal,
                            "Missing response message.",
                        )
                    })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata, extensions, message,
                        ),
                    )
                }
                pub async fn watch(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<WatchRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<
                        impl ::volo_grpc::codegen::futures::Stream<
                            Item = ::std::result::Result<
                                ListReply,
                                ::volo_grpc::Status,
                            >,
                        >,
                    >,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Watch(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/Watch");

                    let resp =
                        ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Watch(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata,
                            extensions,
                            message_stream,
                        ),
                    )
                }
                pub async fn status(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<StatusRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<StatusReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Status(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/Status");

                    let resp =
                        ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Status(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(
                        &mut message_stream,
                    )
                    .await
                    .map_err(|mut status| {
                        status.metadata_mut().merge(metadata.clone());
                        status
                    })?
                    .ok_or_else(|| {
                        ::volo_grpc::Status::new(
                            ::volo_grpc::Code::Internal,
                            "Missing response message.",
                        )
                    })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata, extensions, message,
                        ),
                    )
                }
            }

            impl<
                S: ::volo::client::OneShotService<
                        ::volo_grpc::context::ClientContext,
                        ::volo_grpc::Request<AdminRequestSend>,
                        Response = ::volo_grpc::Response<AdminResponseRecv>,
                        Error = ::volo_grpc::Status,
                    > + Send
                    + Sync
                    + 'static,
            > AdminOneShotClient<S>
            {
                pub async fn put(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<PutRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<ChangeReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Put(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/Put");

                    let resp = ::volo::client::OneShotService::call(
                        self.0, &mut cx, req,
                    )
                    .await?;

                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Put(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(
                        &mut message_stream,
                    )
                    .await
                    .map_err(|mut status| {
                        status.metadata_mut().merge(metadata.clone());
                        status
                    })?
                    .ok_or_else(|| {
                        ::volo_grpc::Status::new(
                            ::volo_grpc::Code::Internal,
                            "Missing response message.",
                        )
                    })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata, extensions, message,
                        ),
                    )
                }
                pub async fn delete(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<DeleteRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<ChangeReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Delete(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/Delete");

                    let resp = ::volo::client::OneShotService::call(
                        self.0, &mut cx, req,
                    )
                    .await?;

                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Delete(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(
                        &mut message_stream,
                    )
                    .await
                    .map_err(|mut status| {
                        status.metadata_mut().merge(metadata.clone());
                        status
                    })?
                    .ok_or_else(|| {
                        ::volo_grpc::Status::new(
                            ::volo_grpc::Code::Internal,
                            "Missing response message.",
                        )
                    })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata, extensions, message,
                        ),
                    )
                }
                pub async fn get(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<GetRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<Entry>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Get(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/Get");

                    let resp = ::volo::client::OneShotService::call(
                        self.0, &mut cx, req,
                    )
                    .await?;

                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Get(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(
                        &mut message_stream,
                    )
                    .await
                    .map_err(|mut status| {
                        status.metadata_mut().merge(metadata.clone());
                        status
                    })?
                    .ok_or_else(|| {
                        ::volo_grpc::Status::new(
                            ::volo_grpc::Code::Internal,
                            "Missing response message.",
                        )
                    })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata, extensions, message,
                        ),
                    )
                }
                pub async fn list(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<ListRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<ListReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::List(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/List");

                    let resp = ::volo::client::OneShotService::call(
                        self.0, &mut cx, req,
                    )
                    .await?;

                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::List(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(
                        &mut message_stream,
                    )
                    .await
                    .map_err(|mut status| {
                        status.metadata_mut().merge(metadata.clone());
                        status
                    })?
                    .ok_or_else(|| {
                        ::volo_grpc::Status::new(
                            ::volo_grpc::Code::Internal,
                            "Missing response message.",
                        )
                    })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata, extensions, message,
                        ),
                    )
                }
                pub async fn watch(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<WatchRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<
                        impl ::volo_grpc::codegen::futures::Stream<
                            Item = ::std::result::Result<
                                ListReply,
                                ::volo_grpc::Status,
                            >,
                        >,
                    >,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Watch(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/Watch");

                    let resp = ::volo::client::OneShotService::call(
                        self.0, &mut cx, req,
                    )
                    .await?;

                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Watch(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata,
                            extensions,
                            message_stream,
                        ),
                    )
                }
                pub async fn status(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<StatusRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<StatusReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Status(::std::boxed::Box::pin(
                                message,
                            )
                                as _)
                        });
                    let mut cx =
                        self.0.make_cx("/cowsliproad.admin.Admin/Status");

                    let resp = ::volo::client::OneShotService::call(
                        self.0, &mut cx, req,
                    )
                    .await?;

                    let (mut metadata, extensions, message_stream) =
                        resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Status(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message = ::volo_grpc::codegen::StreamExt::try_next(
                        &mut message_stream,
                    )
                    .await
                    .map_err(|mut status| {
                        status.metadata_mut().merge(metadata.clone());
                        status
                    })?
                    .ok_or_else(|| {
                        ::volo_grpc::Status::new(
                            ::volo_grpc::Code::Internal,
                            "Missing response message.",
                        )
                    })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(
                        ::volo_grpc::Response::from_parts(
                            metadata, extensions, message,
                        ),
                    )
                }
            }

            pub struct AdminServer<S> {
                inner: ::std::sync::Arc<S>,
            }

            impl<S> Clone for AdminServer<S> {
                fn clone(&self) -> Self {
                    AdminServer { inner: self.inner.clone() }
                }
            }

            impl<S> AdminServer<S> {
                pub fn new(inner: S) -> Self {
                    Self::from_arc(::std::sync::Arc::new(inner))
                }

                pub fn from_arc(inner: ::std::sync::Arc<S>) -> Self {
                    Self { inner }
                }
            }

            impl<S>
                ::volo::service::Service<
                    ::volo_grpc::context::ServerContext,
                    ::volo_grpc::Request<AdminRequestRecv>,
                > for AdminServer<S>
            where
                S: Admin
                    + ::core::marker::Send
                    + ::core::marker::Sync
                    + 'static,
            {
                type Response = ::volo_grpc::Response<AdminResponseSend>;
                type Error = ::volo_grpc::status::Status;

                async fn call<'s, 'cx>(
                    &'s self,
                    cx: &'cx mut ::volo_grpc::context::ServerContext,
                    req: ::volo_grpc::Request<AdminRequestRecv>,
                ) -> ::std::result::Result<Self::Response, Self::Error>
                {
                    let inner = self.inner.clone();
                    match cx.rpc_info.method().as_str() {
                        "/cowsliproad.admin.Admin/Put" => {
                            let (mut metadata, extensions, message_stream) =
                                req.into_parts();
                            let mut message_stream =
                                match message_stream {
                                    AdminRequestRecv::Put(stream) => stream,
                                    #[allow(unreachable_patterns)]
                                    _ => return ::std::result::Result::Err(
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Unimplemented,
                                            "Method not found.",
                                        ),
                                    ),
                                };
                            ::volo_grpc::codegen::futures::pin_mut!(
                                message_stream
                            );
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(
                                    &mut message_stream,
                                )
                                .await?
                                .ok_or_else(
                                    || {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    },
                                )?;
                            if let Some(trailers) =
                                message_stream.trailers().await?
                            {
                                metadata.merge(trailers);
                            }
                            let req = ::volo_grpc::Request::from_parts(
                                metadata, extensions, message,
                            );
                            let resp = inner.put(req).await;
                            resp.map(|r| r.map(|m| AdminResponseSend::Put(::std::boxed::Box::pin( ::volo_grpc::codegen::futures::stream::once(::volo_grpc::codegen::futures::future::ok(m))))))
                        }
                        "/cowsliproad.admin.Admin/Delete" => {
                            let (mut metadata, extensions, message_stream) =
                                req.into_parts();
                            let mut message_stream =
                                match message_stream {
                                    AdminRequestRecv::Delete(stream) => stream,
                                    #[allow(unreachable_patterns)]
                                    _ => return ::std::result::Result::Err(
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Unimplemented,
                                            "Method not found.",
                                        ),
                                    ),
                                };
                            ::volo_grpc::codegen::futures::pin_mut!(
                                message_stream
                            );
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(
                                    &mut message_stream,
                                )
                                .await?
                                .ok_or_else(
                                    || {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    },
                                )?;
                            if let Some(trailers) =
                                message_stream.trailers().await?
                            {
                                metadata.merge(trailers);
                            }
                            let req = ::volo_grpc::Request::from_parts(
                                metadata, extensions, message,
                            );
                            let resp = inner.delete(req).await;
                            resp.map(|r| r.map(|m| AdminResponseSend::Delete(::std::boxed::Box::pin( ::volo_grpc::codegen::futures::stream::once(::volo_grpc::codegen::futures::future::ok(m))))))
                        }
                        "/cowsliproad.admin.Admin/Get" => {
                            let (mut metadata, extensions, message_stream) =
                                req.into_parts();
                            let mut message_stream =
                                match message_stream {
                                    AdminRequestRecv::Get(stream) => stream,
                                    #[allow(unreachable_patterns)]
                                    _ => return ::std::result::Result::Err(
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Unimplemented,
                                            "Method not found.",
                                        ),
                                    ),
                                };
                            ::volo_grpc::codegen::futures::pin_mut!(
                                message_stream
                            );
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(
                                    &mut message_stream,
                                )
                                .await?
                                .ok_or_else(
                                    || {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    },
                                )?;
                            if let Some(trailers) =
                                message_stream.trailers().await?
                            {
                                metadata.merge(trailers);
                            }
                            let req = ::volo_grpc::Request::from_parts(
                                metadata, extensions, message,
                            );
                            let resp = inner.get(req).await;
                            resp.map(|r| r.map(|m| AdminResponseSend::Get(::std::boxed::Box::pin( ::volo_grpc::codegen::futures::stream::once(::volo_grpc::codegen::futures::future::ok(m))))))
                        }
                        "/cowsliproad.admin.Admin/List" => {
                            let (mut metadata, extensions, message_stream) =
                                req.into_parts();
                            let mut message_stream =
                                match message_stream {
                                    AdminRequestRecv::List(stream) => stream,
                                    #[allow(unreachable_patterns)]
                                    _ => return ::std::result::Result::Err(
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Unimplemented,
                                            "Method not found.",
                                        ),
                                    ),
                                };
                            ::volo_grpc::codegen::futures::pin_mut!(
                                message_stream
                            );
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(
                                    &mut message_stream,
                                )
                                .await?
                                .ok_or_else(
                                    || {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    },
                                )?;
                            if let Some(trailers) =
                                message_stream.trailers().await?
                            {
                                metadata.merge(trailers);
                            }
                            let req = ::volo_grpc::Request::from_parts(
                                metadata, extensions, message,
                            );
                            let resp = inner.list(req).await;
                            resp.map(|r| r.map(|m| AdminResponseSend::List(::std::boxed::Box::pin( ::volo_grpc::codegen::futures::stream::once(::volo_grpc::codegen::futures::future::ok(m))))))
                        }
                        "/cowsliproad.admin.Admin/Watch" => {
                            let (mut metadata, extensions, message_stream) =
                                req.into_parts();
                            let mut message_stream =
                                match message_stream {
                                    AdminRequestRecv::Watch(stream) => stream,
                                    #[allow(unreachable_patterns)]
                                    _ => return ::std::result::Result::Err(
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Unimplemented,
                                            "Method not found.",
                                        ),
                                    ),
                                };
                            ::volo_grpc::codegen::futures::pin_mut!(
                                message_stream
                            );
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(
                                    &mut message_stream,
                                )
                                .await?
                                .ok_or_else(
                                    || {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    },
                                )?;
                            if let Some(trailers) =
                                message_stream.trailers().await?
                            {
                                metadata.merge(trailers);
                            }
                            let req = ::volo_grpc::Request::from_parts(
                                metadata, extensions, message,
                            );
                            let resp = inner.watch(req).await;
                            resp.map(|r| {
                                r.map(|s| AdminResponseSend::Watch(s))
                            })
                        }
                        "/cowsliproad.admin.Admin/Status" => {
                            let (mut metadata, extensions, message_stream) =
                                req.into_parts();
                            let mut message_stream =
                                match message_stream {
                                    AdminRequestRecv::Status(stream) => stream,
                                    #[allow(unreachable_patterns)]
                                    _ => return ::std::result::Result::Err(
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Unimplemented,
                                            "Method not found.",
                                        ),
                                    ),
                                };
                            ::volo_grpc::codegen::futures::pin_mut!(
                                message_stream
                            );
                            let message =
                                ::volo_grpc::codegen::StreamExt::try_next(
                                    &mut message_stream,
                                )
                                .await?
                                .ok_or_else(
                                    || {
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Internal,
                                            "Missing request message.",
                                        )
                                    },
                                )?;
                            if let Some(trailers) =
                                message_stream.trailers().await?
                            {
                                metadata.merge(trailers);
                            }
                            let req = ::volo_grpc::Request::from_parts(
                                metadata, extensions, message,
                            );
                            let resp = inner.status(req).await;
                            resp.map(|r| r.map(|m| AdminResponseSend::Status(::std::boxed::Box::pin( ::volo_grpc::codegen::futures::stream::once(::volo_grpc::codegen::futures::future::ok(m))))))
                        }
                        path => {
                            let path = path.to_string();
                            ::std::result::Result::Err(
                                ::volo_grpc::Status::unimplemented(
                                    ::std::format!(
                                        "Unimplemented http path: {}",
                                        path
                                    ),
                                ),
                            )
                        }
                    }
                }
            }

            impl<S: Admin> ::volo_grpc::server::NamedService for AdminServer<S> {
                const NAME: &'static str = "cowsliproad.admin.Admin";
            }
            #[derive(PartialOrd, Debug, Default, Clone, PartialEq)]
            pub struct Group {
                pub name: ::pilota::FastStr,

                pub service: ::pilota::FastStr,

                pub ranks: ::std::vec::Vec<::pilota::FastStr>,

                pub skew_weight: f64,

                pub move_weight: f64,
            }
            impl ::pilota::pb::Message for Group {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 1, &self.name,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        2,
                        &self.service,
                    ) + ::pilota::pb::encoding::faststr::encoded_len_repeated(
                        ctx,
                        3,
                        &self.ranks,
                    ) + ::pilota::pb::encoding::double::encoded_len(
                        ctx,
                        4,
                        &self.skew_weight,
                    ) + ::pilota::pb::encoding::double::encoded_len(
                        ctx,
                        5,
                        &self.move_weight,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(
                        1, &self.name, buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        2,
                        &self.service,
                        buf,
                    );
                    ::pilota::pb::encoding::faststr::encode_repeated(
                        3,
                        &self.ranks,
                        buf,
                    );
                    ::pilota::pb::encoding::double::encode(
                        4,
                        &self.skew_weight,
                        buf,
                    );
                    ::pilota::pb::encoding::double::encode(
                        5,
                        &self.move_weight,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Group);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(name));
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.service;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(service),
                                    );
                                    error
                                },
                            )
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.ranks;
                            ::pilota::pb::encoding::faststr::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(ranks));
                                    error
                                },
                            )
                        }
                        4 => {
                            let mut _inner_pilota_value =
                                &mut self.skew_weight;
                            ::pilota::pb::encoding::double::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(skew_weight),
                                    );
                                    error
                                },
                            )
                        }
                        5 => {
                            let mut _inner_pilota_value =
                                &mut self.move_weight;
                            ::pilota::pb::encoding::double::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(move_weight),
                                    );
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct Service {
                pub name: ::pilota::FastStr,

                pub backend: Backend,
            }
            impl ::pilota::pb::Message for Service {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 1, &self.name,
                    ) + ::pilota::pb::encoding::int32::encoded_len(
                        ctx,
                        2,
                        &self.backend,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(
                        1, &self.name, buf,
                    );
                    ::pilota::pb::encoding::int32::encode(
                        2,
                        &self.backend,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Service);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(name));
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.backend;
                            ::pilota::pb::encoding::int32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(backend),
                                    );
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd,
                Hash,
                Eq,
                Ord,
                Debug,
                Default,
                Clone,
                PartialEq,
                Copy,
            )]
            #[repr(transparent)]
            pub struct Repeat(i32);

            impl Repeat {
                pub const REPEATABLE: Self = Self(0);
                pub const NEVER: Self = Self(1);

                pub fn inner(&self) -> i32 {
                    self.0
                }

                pub fn to_string(&self) -> ::std::string::String {
                    match self {
                        Self(0) => ::std::string::String::from("REPEATABLE"),
                        Self(1) => ::std::string::String::from("NEVER"),
                        Self(val) => val.to_string(),
                    }
                }

                pub fn try_from_i32(
                    value: i32,
                ) -> ::std::option::Option<Self> {
                    match value {
                        0 => ::std::option::Option::Some(Self::REPEATABLE),
                        1 => ::std::option::Option::Some(Self::NEVER),
                        _ => ::std::option::Option::None,
                    }
                }
            }

            impl ::std::convert::From<i32> for Repeat {
                fn from(value: i32) -> Self {
                    Self(value)
                }
            }

            impl ::std::convert::From<Repeat> for i32 {
                fn from(value: Repeat) -> i32 {
                    value.0
                }
            }

            #[derive(
                PartialOrd,
                Hash,
                Eq,
                Ord,
                Debug,
                Default,
                Clone,
                PartialEq,
                Copy,
            )]
            #[repr(transparent)]
            pub struct Mode(i32);

            impl Mode {
                pub const COMMIT: Self = Self(0);
                pub const DRY_RUN: Self = Self(1);

                pub fn inner(&self) -> i32 {
                    self.0
                }

                pub fn to_string(&self) -> ::std::string::String {
                    match self {
                        Self(0) => ::std::string::String::from("COMMIT"),
                        Self(1) => ::std::string::String::from("DRY_RUN"),
                        Self(val) => val.to_string(),
                    }
                }

                pub fn try_from_i32(
                    value: i32,
                ) -> ::std::option::Option<Self> {
                    match value {
                        0 => ::std::option::Option::Some(Self::COMMIT),
                        1 => ::std::option::Option::Some(Self::DRY_RUN),
                        _ => ::std::option::Option::None,
                    }
                }
            }

            impl ::std::convert::From<i32> for Mode {
                fn from(value: i32) -> Self {
                    Self(value)
                }
            }

            impl ::std::convert::From<Mode> for i32 {
                fn from(value: Mode) -> i32 {
                    value.0
                }
            }

            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct TargetStatus {
                pub name: ::pilota::FastStr,

                pub service: ::pilota::FastStr,

                pub zone: ::pilota::FastStr,

                pub state: ::pilota::FastStr,

                pub queued: u32,

                pub running: u32,

                pub slots: u32,

                pub report_age_ms: u64,

                pub offset: u64,
            }
            impl ::pilota::pb::Message for TargetStatus {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 1, &self.name,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        2,
                        &self.service,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 3, &self.zone,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        4,
                        &self.state,
                    ) + ::pilota::pb::encoding::uint32::encoded_len(
                        ctx,
                        5,
                        &self.queued,
                    ) + ::pilota::pb::encoding::uint32::encoded_len(
                        ctx,
                        6,
                        &self.running,
                    ) + ::pilota::pb::encoding::uint32::encoded_len(
                        ctx,
                        7,
                        &self.slots,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        8,
                        &self.report_age_ms,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        9,
                        &self.offset,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(
                        1, &self.name, buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        2,
                        &self.service,
                        buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        3, &self.zone, buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        4,
                        &self.state,
                        buf,
                    );
                    ::pilota::pb::encoding::uint32::encode(
                        5,
                        &self.queued,
                        buf,
                    );
                    ::pilota::pb::encoding::uint32::encode(
                        6,
                        &self.running,
                        buf,
                    );
                    ::pilota::pb::encoding::uint32::encode(
                        7,
                        &self.slots,
                        buf,
                    );
                    ::pilota::pb::encoding::uint64::encode(
                        8,
                        &self.report_age_ms,
                        buf,
                    );
                    ::pilota::pb::encoding::uint64::encode(
                        9,
                        &self.offset,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(TargetStatus);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(name));
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.service;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(service),
                                    );
                                    error
                                },
                            )
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.zone;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(zone));
                                    error
                                },
                            )
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.state;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(state));
                                    error
                                },
                            )
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.queued;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error
                                        .push(STRUCT_NAME, stringify!(queued));
                                    error
                                },
                            )
                        }
                        6 => {
                            let mut _inner_pilota_value = &mut self.running;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(running),
                                    );
                                    error
                                },
                            )
                        }
                        7 => {
                            let mut _inner_pilota_value = &mut self.slots;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(slots));
                                    error
                                },
                            )
                        }
                        8 => {
                            let mut _inner_pilota_value =
                                &mut self.report_age_ms;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(report_age_ms),
                                    );
                                    error
                                },
                            )
                        }
                        9 => {
                            let mut _inner_pilota_value = &mut self.offset;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error
                                        .push(STRUCT_NAME, stringify!(offset));
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(PartialOrd, Debug, Default, Clone, PartialEq)]
            pub struct ListReply {
                pub next: u64,

                pub entries: ::std::vec::Vec<Entry>,
            }
            impl ::pilota::pb::Message for ListReply {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx, 1, &self.next,
                    ) + ::pilota::pb::encoding::message::encoded_len_repeated(
                        ctx,
                        2,
                        &self.entries,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint64::encode(1, &self.next, buf);
                    for msg in &self.entries {
                        ::pilota::pb::encoding::message::encode(2, msg, buf);
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(ListReply);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.next;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(next));
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.entries;
                            ::pilota::pb::encoding::message::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(entries),
                                    );
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct GetRequest {
                pub kind: ::pilota::FastStr,

                pub name: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for GetRequest {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 1, &self.kind,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 2, &self.name,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(
                        1, &self.kind, buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        2, &self.name, buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(GetRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.kind;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(kind));
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(name));
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(PartialOrd, Debug, Default, Clone, PartialEq)]
            pub struct PutRequest {
                pub command: u64,

                pub base: u64,

                pub object: ::std::option::Option<Object>,

                pub mode: Mode,
            }
            impl ::pilota::pb::Message for PutRequest {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        1,
                        &self.command,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx, 2, &self.base,
                    ) + self.object.as_ref().map_or(0, |msg| {
                        ::pilota::pb::encoding::message::encoded_len(
                            ctx, 3, msg,
                        )
                    }) + ::pilota::pb::encoding::int32::encoded_len(
                        ctx, 4, &self.mode,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint64::encode(
                        1,
                        &self.command,
                        buf,
                    );
                    ::pilota::pb::encoding::uint64::encode(2, &self.base, buf);
                    if let ::std::option::Option::Some(_pilota_inner_value) =
                        self.object.as_ref()
                    {
                        ::pilota::pb::encoding::message::encode(
                            3,
                            _pilota_inner_value,
                            buf,
                        );
                    }
                    ::pilota::pb::encoding::int32::encode(4, &self.mode, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(PutRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.command;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(command),
                                    );
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.base;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(base));
                                    error
                                },
                            )
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.object;
                            ::pilota::pb::encoding::message::merge(
                                wire_type,
                                _inner_pilota_value.get_or_insert_with(
                                    ::core::default::Default::default,
                                ),
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error
                                        .push(STRUCT_NAME, stringify!(object));
                                    error
                                },
                            )
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.mode;
                            ::pilota::pb::encoding::int32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(mode));
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(PartialOrd, Debug, Default, Clone, PartialEq)]
            pub struct Object {
                pub kind: ::std::option::Option<object::Kind>,
            }
            impl ::pilota::pb::Message for Object {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + self
                        .kind
                        .as_ref()
                        .map_or(0, |msg| msg.encoded_len(ctx))
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    if let ::std::option::Option::Some(_pilota_inner_value) =
                        self.kind.as_ref()
                    {
                        _pilota_inner_value.encode(buf);
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Object);

                    match tag {
                        1 | 2 | 3 | 4 | 5 | 6 => {
                            let mut _inner_pilota_value = &mut self.kind;
                            object::Kind::merge(
                                _inner_pilota_value,
                                tag,
                                wire_type,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(kind));
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq,
            )]
            pub struct Target {
                pub name: ::pilota::FastStr,

                pub service: ::pilota::FastStr,

                pub zone: ::pilota::FastStr,

                pub agent: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for Target {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 1, &self.name,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        2,
                        &self.service,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx, 3, &self.zone,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        4,
                        &self.agent,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(
                        1, &self.name, buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        2,
                        &self.service,
                        buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        3, &self.zone, buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(
                        4,
                        &self.agent,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Target);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(name));
                                    error
                                },
                            )
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.service;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(
                                        STRUCT_NAME,
                                        stringify!(service),
                                    );
                                    error
                                },
                            )
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.zone;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(zone));
                                    error
                                },
                            )
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.agent;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(
                                |mut error| {
                                    error.push(STRUCT_NAME, stringify!(agent));
                                    error
                                },
                            )
                        }
                        _ => ::pilota::pb::encoding::skip_field(
                            wire_type, tag, buf, ctx,
                        ),
                    }
                }
            }

            pub mod object {
                use ::pilota::{Buf as _, BufMut as _};

                impl ::std::default::Default for Kind {
                    fn default() -> Self {
                        Kind::Organisation(::std::default::Default::default())
                    }
                }
                #[derive(PartialOrd, Debug, Clone, PartialEq)]
                pub enum Kind {
                    Organisation(super::Organisation),

                    Service(super::Service),

                    RequestType(super::RequestType),

                    Target(super::Target),

                    Group(super::Group),

                    Drain(super::Drain),
                }

                impl Kind {
                    pub fn encode(&self, buf: &mut ::pilota::LinkedBytes) {
                        match self {
                            Kind::Organisation(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    1,
                                    (&*value),
                                    buf,
                                );
                            }
                            Kind::Service(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    2,
                                    (&*value),
                                    buf,
                                );
                            }
                            Kind::RequestType(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    3,
                                    (&*value),
                                    buf,
                                );
                            }
                            Kind::Target(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    4,
                                    (&*value),
                                    buf,
                                );
                            }
                            Kind::Group(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    5,
                                    (&*value),
                                    buf,
                                );
                            }
                            Kind::Drain(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    6,
                                    (&*value),
                                    buf,
                                );
                            }
                        }
                    }

                    #[inline]
                    pub fn encoded_len(
                        &self,
                        ctx: &mut ::pilota::pb::EncodeLengthContext,
                    ) -> usize {
                        match self {
                            Kind::Organisation(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 1, &*value,
                                )
                            }
                            Kind::Service(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 2, &*value,
                                )
                            }
                            Kind::RequestType(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 3, &*value,
                                )
                            }
                            Kind::Target(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 4, &*value,
                                )
                            }
                            Kind::Group(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 5, &*value,
                                )
                            }
                            Kind::Drain(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 6, &*value,
                                )
                            }
                        }
                    }

                    #[inline]
                    pub fn merge(
                        field: &mut ::core::option::Option<Self>,
                        tag: u32,
                        wire_type: ::pilota::pb::encoding::WireType,
                        buf: &mut ::pilota::Bytes,
                        ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                    {
                        match tag {
                            1 => {
                                match field {
                                    ::core::option::Option::Some(
                                        Kind::Organisation(value),
                                    ) => {
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                    }
                                    _ => {
                                        let mut owned_value =
                                            ::core::default::Default::default(
                                            );
                                        let value = &mut owned_value;
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                        *field = ::core::option::Option::Some(
                                            Kind::Organisation(owned_value),
                                        );
                                    }
                                }
                            }
                            2 => {
                                match field {
                                    ::core::option::Option::Some(
                                        Kind::Service(value),
                                    ) => {
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                    }
                                    _ => {
                                        let mut owned_value =
                                            ::core::default::Default::default(
                                            );
                                        let value = &mut owned_value;
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                        *field = ::core::option::Option::Some(
                                            Kind::Service(owned_value),
                                        );
                                    }
                                }
                            }
                            3 => {
                                match field {
                                    ::core::option::Option::Some(
                                        Kind::RequestType(value),
                                    ) => {
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                    }
                                    _ => {
                                        let mut owned_value =
                                            ::core::default::Default::default(
                                            );
                                        let value = &mut owned_value;
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                        *field = ::core::option::Option::Some(
                                            Kind::RequestType(owned_value),
                                        );
                                    }
                                }
                            }
                            4 => {
                                match field {
                                    ::core::option::Option::Some(
                                        Kind::Target(value),
                                    ) => {
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                    }
                                    _ => {
                                        let mut owned_value =
                                            ::core::default::Default::default(
                                            );
                                        let value = &mut owned_value;
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                        *field = ::core::option::Option::Some(
                                            Kind::Target(owned_value),
                                        );
                                    }
                                }
                            }
                            5 => {
                                match field {
                                    ::core::option::Option::Some(
                                        Kind::Group(value),
                                    ) => {
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                    }
                                    _ => {
                                        let mut owned_value =
                                            ::core::default::Default::default(
                                            );
                                        let value = &mut owned_value;
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                        *field = ::core::option::Option::Some(
                                            Kind::Group(owned_value),
                                        );
                                    }
                                }
                            }
                            6 => {
                                match field {
                                    ::core::option::Option::Some(
                                        Kind::Drain(value),
                                    ) => {
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                    }
                                    _ => {
                                        let mut owned_value =
                                            ::core::default::Default::default(
                                            );
                                        let value = &mut owned_value;
                                        ::pilota::pb::encoding::message::merge(wire_type, value, buf, ctx)?;
                                        *field = ::core::option::Option::Some(
                                            Kind::Drain(owned_value),
                                        );
                                    }
                                }
                            }
                            _ => unreachable!(
                                concat!(
                                    "invalid ",
                                    stringify!(Kind),
                                    " tag: {}"
                                ),
                                tag
                            ),
                        };
                        ::core::result::Result::Ok(())
                    }
                }
            }
        }
    }
}
