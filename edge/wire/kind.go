package wire

// Kind numbers a type of message. A number is never used again.
type Kind uint16

// The kinds.
const (
	KindHello               Kind = 1
	KindHeartbeat           Kind = 2
	KindAsk                 Kind = 3
	KindConfigurationNews   Kind = 4
	KindConfigurationReport Kind = 5
	KindFleetDelta          Kind = 6
	KindFleetSnapshot       Kind = 7
	KindMemberNews          Kind = 8
	KindHandOver            Kind = 9
	KindHandOverAnswer      Kind = 10
	KindPayload             Kind = 11
	KindNoticeNews          Kind = 12
)
