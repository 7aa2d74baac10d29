package spread

// Message is a message between two nodes: a *Heartbeat, *SyncRequest,
// *ConfigurationUpdate, *ConfigurationReport, *FleetDelta, *FleetSnapshot,
// *NoticeUpdate or *MemberUpdate.
type Message interface {
	isMessage()
}
