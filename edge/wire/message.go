package wire

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// Message is a *Hello, *HandOver, *HandOverAnswer or *Payload, or any
// spread.Message.
type Message any

// kindOf returns the kind of a message, or 0 if the type of m is not a message
// type.
func kindOf(m Message) Kind {
	switch m.(type) {
	case *Hello:
		return KindHello
	case *spread.Heartbeat:
		return KindHeartbeat
	case *spread.SyncRequest:
		return KindSyncRequest
	case *spread.ConfigurationUpdate:
		return KindConfigurationUpdate
	case *spread.ConfigurationReport:
		return KindConfigurationReport
	case *spread.FleetDelta:
		return KindFleetDelta
	case *spread.FleetSnapshot:
		return KindFleetSnapshot
	case *spread.MemberUpdate:
		return KindMemberUpdate
	case *spread.NoticeUpdate:
		return KindNoticeUpdate
	case *HandOver:
		return KindHandOver
	case *HandOverAnswer:
		return KindHandOverAnswer
	case *Payload:
		return KindPayload
	default:
		return 0
	}
}

// newMessage returns an empty message to decode into, or nil if the kind is
// unknown.
func newMessage(kind Kind) Message {
	switch kind {
	case KindHello:
		return new(Hello)
	case KindHeartbeat:
		return new(spread.Heartbeat)
	case KindSyncRequest:
		return new(spread.SyncRequest)
	case KindConfigurationUpdate:
		return new(spread.ConfigurationUpdate)
	case KindConfigurationReport:
		return new(spread.ConfigurationReport)
	case KindFleetDelta:
		return new(spread.FleetDelta)
	case KindFleetSnapshot:
		return new(spread.FleetSnapshot)
	case KindMemberUpdate:
		return new(spread.MemberUpdate)
	case KindNoticeUpdate:
		return new(spread.NoticeUpdate)
	case KindHandOver:
		return new(HandOver)
	case KindHandOverAnswer:
		return new(HandOverAnswer)
	case KindPayload:
		return new(Payload)
	default:
		return nil
	}
}
