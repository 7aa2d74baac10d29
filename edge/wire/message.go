package wire

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// Message is a message between two processes: a pointer to Hello, HandOver,
// HandOverAnswer or Payload, or any spread.Message.
type Message any

// kindOf returns the kind of a message; 0 if it is none.
func kindOf(m Message) Kind {
	switch m.(type) {
	case *Hello:
		return KindHello
	case *spread.Heartbeat:
		return KindHeartbeat
	case *spread.SyncRequest:
		return KindAsk
	case *spread.ConfigurationUpdate:
		return KindConfigurationNews
	case *spread.ConfigurationReport:
		return KindConfigurationReport
	case *spread.FleetDelta:
		return KindFleetDelta
	case *spread.FleetSnapshot:
		return KindFleetSnapshot
	case *spread.MemberUpdate:
		return KindMemberNews
	case *spread.NoticeUpdate:
		return KindNoticeNews
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

// newMessage returns an empty message of a kind; nil if the kind is unknown.
func newMessage(kind Kind) Message {
	switch kind {
	case KindHello:
		return new(Hello)
	case KindHeartbeat:
		return new(spread.Heartbeat)
	case KindAsk:
		return new(spread.SyncRequest)
	case KindConfigurationNews:
		return new(spread.ConfigurationUpdate)
	case KindConfigurationReport:
		return new(spread.ConfigurationReport)
	case KindFleetDelta:
		return new(spread.FleetDelta)
	case KindFleetSnapshot:
		return new(spread.FleetSnapshot)
	case KindMemberNews:
		return new(spread.MemberUpdate)
	case KindNoticeNews:
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
