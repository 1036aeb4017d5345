package config

import "time"

// Kinds of declared objects, as written in the field "kind".
const (
	KindDataCentre    = "DataCentre"
	KindService       = "Service"
	KindBackendServer = "BackendServer"
	KindWorkspace     = "Workspace"
	KindPolicy        = "Policy"
)

// Revision orders published sets: first by Epoch, then by Number.
type Revision struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

// Less reports whether r is older than o.
func (r Revision) Less(o Revision) bool {
	if r.Epoch != o.Epoch {
		return r.Epoch < o.Epoch
	}
	return r.Number < o.Number
}

// Duration is a time.Duration written as in "1.5s".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Set is the whole of the declared objects, by name within each kind.
type Set struct {
	Revision       Revision
	DataCentres    map[string]*DataCentre
	Services       map[string]*Service
	BackendServers map[string]*BackendServer
	Workspaces     map[string]*Workspace
	Policies       map[string]*Policy

	// filled is true when all defaults are filled in.
	filled bool
	// sources says where each object was declared; nil if not from files.
	sources map[Key]source
}

// State says whether an object takes new work.
type State string

// The states of data centres and backend servers.
const (
	// Active takes new work.
	Active State = "active"
	// Out takes no new work; what runs is finished.
	Out State = "out"
)

// DataCentre is a failure domain with its own entry VMs and backend servers.
type DataCentre struct {
	Name string `yaml:"name" json:"name"`
	// Region groups data centres that are close; traffic stays in its region.
	Region string `yaml:"region" json:"region"`
	// State defaults to active.
	State State `yaml:"state,omitempty" json:"state,omitempty"`
	// Weight is the data centre's part of its region's chats; default 100.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty"`
	// MaxInFlight bounds concurrent requests over all services; 0 is no bound.
	MaxInFlight int `yaml:"maxInFlight,omitempty" json:"maxInFlight,omitempty"`
	// ReturnRamp is how long a return from Out takes to full weight; default 60s.
	ReturnRamp Duration `yaml:"returnRamp,omitempty" json:"returnRamp,omitempty"`
	// LeaseVoters elect the data centre's grantor by majority.
	LeaseVoters []LeaseVoter `yaml:"leaseVoters" json:"leaseVoters"`
}

// LeaseVoter is one process that votes on the grantor lease of a data centre.
type LeaseVoter struct {
	Name string `yaml:"name" json:"name"`
	// Address is the fleet address of the process, IP and port.
	Address string `yaml:"address" json:"address"`
	// Candidate is true for a process that may hold the lease; a witness from
	// another data centre only votes.
	Candidate bool `yaml:"candidate,omitempty" json:"candidate,omitempty"`
}

// ServiceType says what the service's backend servers are.
type ServiceType string

// The types of services.
const (
	// Model is served by model engines with prompt caches.
	Model ServiceType = "model"
	// Plain is served by ordinary HTTP servers.
	Plain ServiceType = "plain"
)

// Service is something that callers ask for, served by a pool of backend servers.
type Service struct {
	Name string      `yaml:"name" json:"name"`
	Type ServiceType `yaml:"type" json:"type"`
	// DataCentres lists where the service runs; empty means everywhere.
	DataCentres []string `yaml:"dataCentres,omitempty" json:"dataCentres,omitempty"`
	// Models lists the models that callers may name; the first is the default.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Policy names the policy in force for the service.
	Policy string  `yaml:"policy" json:"policy"`
	Routes []Route `yaml:"routes" json:"routes"`
	// Chat says how a request names its chat.
	Chat Identity `yaml:"chat,omitempty" json:"chat,omitempty"`
	// Workspace says how a request names its workspace; default header X-Workspace.
	Workspace Identity `yaml:"workspace,omitempty" json:"workspace,omitempty"`
	// Model says how a request names its model; default JSON field "model".
	Model Identity `yaml:"model,omitempty" json:"model,omitempty"`
	// ChecksFence is true if the backend servers refuse an old fencing number.
	ChecksFence bool `yaml:"checksFence,omitempty" json:"checksFence,omitempty"`
	// AnnounceKey, if set, is the SHA-256 (hex) of the key that announcements must show.
	AnnounceKey string `yaml:"announceKey,omitempty" json:"announceKey,omitempty"`
}

// Identity says where in a request a name is found: in a header or in a
// top-level field of a JSON body.
type Identity struct {
	Header    string `yaml:"header,omitempty" json:"header,omitempty"`
	JSONField string `yaml:"jsonField,omitempty" json:"jsonField,omitempty"`
}

// Route maps methods and paths to treatment.
type Route struct {
	// Path is an exact path, or a prefix if it ends in "/".
	Path string `yaml:"path" json:"path"`
	// Methods defaults to POST.
	Methods []string `yaml:"methods,omitempty" json:"methods,omitempty"`
	// Repeatable is true if running the call twice does no harm; default false.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Priority from 0 (planners) to 9 (runners at the start); default 5.
	Priority *int `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Deadline bounds the whole request; default 120s.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// MaxWait bounds the wait for a place; default 10s.
	MaxWait Duration `yaml:"maxWait,omitempty" json:"maxWait,omitempty"`
	// MaxBody bounds the request body in bytes; default 1048576.
	MaxBody int64 `yaml:"maxBody,omitempty" json:"maxBody,omitempty"`
}

// BackendServer overrides what a server of that name announces.
type BackendServer struct {
	Name       string `yaml:"name" json:"name"`
	Service    string `yaml:"service" json:"service"`
	DataCentre string `yaml:"dataCentre" json:"dataCentre"`
	// State defaults to active.
	State State `yaml:"state,omitempty" json:"state,omitempty"`
	// MaxInFlight lowers the announced capacity; 0 leaves it.
	MaxInFlight int `yaml:"maxInFlight,omitempty" json:"maxInFlight,omitempty"`
}

// Workspace is one customer's space.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// Services lists what the workspace may use; empty means all.
	Services []string `yaml:"services,omitempty" json:"services,omitempty"`
	// Weight is the workspace's part when it competes for places; default 100.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty"`
	// MaxInFlight bounds concurrent requests per data centre; 0 is no bound.
	MaxInFlight int `yaml:"maxInFlight,omitempty" json:"maxInFlight,omitempty"`
	// KeyHash, if set, is the SHA-256 (hex) of the bearer key that callers must show.
	KeyHash string `yaml:"keyHash,omitempty" json:"keyHash,omitempty"`
	// Policy overrides the service's policy; empty leaves it.
	Policy string `yaml:"policy,omitempty" json:"policy,omitempty"`
}

// Policy holds the tunable treatment of a service.
type Policy struct {
	Name string `yaml:"name" json:"name"`
	// MaxLoadFactor bounds a server's load to this multiple of its pool's mean; default 1.25.
	MaxLoadFactor float64 `yaml:"maxLoadFactor,omitempty" json:"maxLoadFactor,omitempty"`
	// LoadFloor is the mean in-flight per server below which MaxLoadFactor is not applied; default 2.
	LoadFloor float64 `yaml:"loadFloor,omitempty" json:"loadFloor,omitempty"`
	// ColdRamp is how long a server that has become ready takes to full capacity; default 30s.
	ColdRamp Duration `yaml:"coldRamp,omitempty" json:"coldRamp,omitempty"`
	// MaxQueue bounds asks that wait per service and data centre; default 1000.
	MaxQueue int `yaml:"maxQueue,omitempty" json:"maxQueue,omitempty"`
	// RetryRatio bounds attempts beyond the first, as a part of requests; default 0.1.
	RetryRatio float64 `yaml:"retryRatio,omitempty" json:"retryRatio,omitempty"`
	// MaxAttempts bounds attempts of one request; default 3.
	MaxAttempts int `yaml:"maxAttempts,omitempty" json:"maxAttempts,omitempty"`
	// SilenceLimit is how long a server may be silent before it gets no new work; default 3s.
	SilenceLimit Duration `yaml:"silenceLimit,omitempty" json:"silenceLimit,omitempty"`
	// EjectAfter is how many failures in a row take a server out for EjectTime; default 5.
	EjectAfter int `yaml:"ejectAfter,omitempty" json:"ejectAfter,omitempty"`
	// EjectTime defaults to 10s.
	EjectTime Duration `yaml:"ejectTime,omitempty" json:"ejectTime,omitempty"`
	// ClaimRetention is how long a resend finds the record of its claim; default 24h.
	ClaimRetention Duration `yaml:"claimRetention,omitempty" json:"claimRetention,omitempty"`
	// MaxKeptAnswer bounds an answer kept for resends, in bytes; default 16384.
	MaxKeptAnswer int `yaml:"maxKeptAnswer,omitempty" json:"maxKeptAnswer,omitempty"`
	// MaxServersPerWorkspace bounds over how many servers a workspace's prompt prefix spreads; 0 is no bound.
	MaxServersPerWorkspace int `yaml:"maxServersPerWorkspace,omitempty" json:"maxServersPerWorkspace,omitempty"`
}
