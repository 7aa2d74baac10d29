package wire

// Kind is the number of a message type on the wire. The number of a removed type
// is never reused, since processes of an older release may still send it.
type Kind uint16

// The message kinds.
const (
	KindHello               Kind = 1
	KindHeartbeat           Kind = 2
	KindSyncRequest         Kind = 3
	KindConfigurationUpdate Kind = 4
	KindConfigurationReport Kind = 5
	KindFleetDelta          Kind = 6
	KindFleetSnapshot       Kind = 7
	KindMemberUpdate        Kind = 8
	KindHandOver            Kind = 9
	KindHandOverAnswer      Kind = 10
	KindPayload             Kind = 11
	KindNoticeUpdate        Kind = 12
)
