package capacity

// Target size of the fleet; rates are per second.
const (
	nodes       = 330
	runners     = 2400
	dataCentres = 8
	regions     = 3
	workspaces  = 11000
	requestRate = 9700
	// tokenRate counts generated tokens of all requests. tokenRate / requestRate is
	// the number of tokens of a request, and secondsPerToken the time for each.
	tokenRate       = 2_000_000
	secondsPerToken = 0.045
	secondsPerDay   = 86400
	changesPerDay   = 5200

	nodesPerDC      = nodes / dataCentres
	serversPerDC    = runners / dataCentres
	nodesPerRegion  = nodes / regions
	requestsPerDC   = float64(requestRate) / dataCentres
	requestsPerNode = float64(requestRate) / nodes
	changeRate      = float64(changesPerDay) / secondsPerDay
	// inFlight is the number of concurrent requests, by Little's law.
	inFlight      = tokenRate * secondsPerToken
	inFlightPerDC = inFlight / dataCentres
	// claimRate is an assumption: the target does not state the rate of requests
	// that must not be repeated.
	claimRate = 100
	// claimRetention, in seconds, is an assumption: one hour.
	claimRetention = 3600
	// relaysPerDC is the number of relays that serve the nodes of a data centre.
	relaysPerDC = 2
	// sourcesPerNode is the number of configuration sources that a node watches.
	sourcesPerNode = 2
	// heartbeatsPerSecond is the rate of one node.
	heartbeatsPerSecond = 0.5
)

// Rows returns the figures of docs/CAPACITY.md.
func Rows() []Row {
	var out []Row
	for _, part := range [][]Row{routerRows(), grantorRows(), relayRows(), voterRows(), operatorRows()} {
		out = append(out, part...)
	}
	return out
}

func routerRows() []Row {
	const role = "Router (each of 330 entry VMs)"
	return []Row{
		{role, "memory for declarations", "config.bytes_per_workspace", workspaces, "11,000 workspaces", "MB", "immutable snapshot, shared by all requests; unchanged objects are shared by revisions"},
		{role, "memory of a later copy of the map", "config.apply_bytes_per_workspace", workspaces, "11,000 workspaces", "MB", "the map of one kind is copied for a change; the objects are shared"},
		{role, "processor time for changes", "config.apply_ns_per_workspace", workspaces * changeRate, "11,000 workspaces × 0.060 changes/s", "% core", "one copy of the map of names per change"},
		{role, "bytes for changes", "distribution.bytes_per_change", changeRate * sourcesPerNode, "0.060 changes/s from 2 sources", "B/s", "deltas over a stream kept open"},
		{role, "bytes for permits", "session.bytes_per_request", requestsPerNode, "29.4 requests/s", "KB/s", "one session per data centre of the region; ask, permit, start and result in order"},
		{role, "bytes for announcements passed on", "session.bytes_per_brief", float64(runners) / nodes, "7.3 servers' announcements/s", "KB/s", "each server announces itself to one router once a second; unchanged fields are left out"},
		{role, "bytes for session pings", "session.bytes_per_ping", 2 * float64(dataCentres) / regions, "2.7 sessions, each way once a second", "B/s", "sessions within the region only"},
		{role, "bytes for heartbeats", "membership.bytes_per_heartbeat", heartbeatsPerSecond, "one in 2 s", "B/s", "one call to one control process"},
	}
}

func grantorRows() []Row {
	const role = "Grantor (one per data centre, 8 VMs set aside)"
	return []Row{
		{role, "memory for servers", "grantor.bytes_per_server", serversPerDC, "300 servers", "KB", "one record per announced server of its own data centre"},
		{role, "memory for permits", "grantor.bytes_per_permit", inFlightPerDC, "2 M tokens/s × 45 ms ÷ 8 in flight", "MB", "one record per request in flight"},
		{role, "memory for busy workspaces", "grantor.bytes_per_busy_workspace", workspaces, "11,000 workspaces, all busy", "MB", "subset and share per workspace; idle ones are forgotten"},
		{role, "memory for sessions", "grantor.bytes_per_session", nodesPerRegion, "110 routers of the region", "KB", "one session per router of the region"},
		{role, "whole requests at 300 servers", "grantor.ns_per_request", requestsPerDC, "1,213 requests/s", "% core", "ask, permit, start, result; sockets not counted"},
		{role, "announcements", "grantor.ns_per_announcement", serversPerDC, "300 announcements/s", "% core", "an announcement looks at its own server only"},
		{role, "looks at what time alone changes", "grantor.tick_ns_per_server", serversPerDC * 10, "300 servers, 10 times a second", "% core", "ramps, silence, deadlines"},
		{role, "bytes for permits, in and out", "session.bytes_per_request", requestsPerDC, "1,213 requests/s", "KB/s", "on a VM set aside"},
		{role, "bytes of full announcements after a change of grantor", "session.bytes_per_announcement", serversPerDC, "300 servers", "KB", "in the hellos of the routers"},
		{role, "bytes for announcements", "session.bytes_per_brief", serversPerDC, "300 announcements/s", "KB/s", "on a VM set aside"},
	}
}

func relayRows() []Row {
	const role = "Relay (two per data centre, on the VMs set aside or on entry VMs)"
	return []Row{
		{role, "finding a change", "config.diff_ns_per_workspace", workspaces * changeRate, "11,000 workspaces × 0.060 changes/s", "% core", "objects that both sets share are compared by pointer"},
		{role, "sending changes", "distribution.relay_ns_per_watcher_per_change", nodesPerDC * changeRate, "41 nodes × 0.060 changes/s", "% core", "one encoded delta for all watchers"},
		{role, "bytes of changes out", "distribution.bytes_per_change", nodesPerDC * changeRate, "41 nodes × 0.060 changes/s", "KB/s", "tree: control, relays, nodes"},
		{role, "a whole configuration for a node that starts", "config.snapshot_bytes_per_workspace", workspaces, "11,000 workspaces", "MB", "parts of 1 MiB"},
		{role, "bytes of whole configurations", "config.snapshot_bytes_per_workspace", workspaces * float64(780) / secondsPerDay / dataCentres / relaysPerDC, "780 restarts a day over 16 relays", "B/s", "only a node without a recent revision takes the whole"},
	}
}

func voterRows() []Row {
	const role = "Control voter (5, on VMs set aside)"
	return []Row{
		{role, "check of a change, at acceptance and again when applied", "config.check_ns_per_workspace", 2 * workspaces * changeRate, "2 × 11,000 workspaces × 0.060 changes/s", "% core", "the whole set is checked as one"},
		{role, "memory for declarations", "config.bytes_per_workspace", workspaces, "11,000 workspaces", "MB", "the same immutable set as at nodes"},
		{role, "heartbeats in and out", "membership.bytes_per_heartbeat", nodes * heartbeatsPerSecond, "330 nodes, one in 2 s", "KB/s", "at the leader, in memory only"},
		{role, "changes out to relays", "distribution.bytes_per_change", dataCentres * relaysPerDC * changeRate, "16 relays × 0.060 changes/s", "B/s", "relays, not nodes, watch the control group"},
		{role, "claims, processor time", "control.apply_ns_per_claim", claimRate, "100 claims/s (assumed)", "% core", "claim and outcome, without sockets and disk"},
		{role, "claims, log on disk", "control.log_bytes_per_claim", claimRate, "100 claims/s (assumed)", "KB/s", "group commit; the log is cut after a snapshot"},
		{role, "claims, memory", "control.bytes_per_claim", claimRate * claimRetention, "100 claims/s kept for 1 h (assumed)", "MB", "does not carry yet, see below"},
	}
}

func operatorRows() []Row {
	const role = "Operator's tool"
	return []Row{
		{role, "check before an apply", "config.check_ns_per_workspace", workspaces, "11,000 workspaces", "ms", "offline, the same check as the control group's"},
		{role, "reading the configuration in force", "config.snapshot_bytes_per_workspace", workspaces, "11,000 workspaces", "MB", "once per plan; the change itself is a delta"},
	}
}
