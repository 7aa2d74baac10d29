package spread

// Message is a message between two nodes: *Heartbeat, *Ask,
// *ConfigurationNews, *ConfigurationReport, *FleetDelta, *FleetSnapshot,
// *NoticeNews or *MemberNews.
type Message interface {
	isMessage()
}
