package spread

// Message is a message between two nodes: *Heartbeat, *Ask,
// *ConfigurationNews, *ConfigurationReport, *FleetDelta, *FleetSnapshot or
// *MemberNews.
type Message interface {
	isMessage()
}
