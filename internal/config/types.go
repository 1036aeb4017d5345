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

// AsDuration returns the value as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Set holds all declared objects, by name within each kind.
type Set struct {
	Revision       Revision
	DataCentres    map[string]*DataCentre
	Services       map[string]*Service
	BackendServers map[string]*BackendServer
	Workspaces     map[string]*Workspace
	Policies       map[string]*Policy

	// defaulted is set if all defaults have been applied.
	defaulted bool
	// origins holds where each object was declared; nil if the set was not read
	// from files.
	origins map[ObjectKey]origin
}

// State says whether a data centre or backend server takes new work.
type State string

// The states of data centres and backend servers.
const (
	// StateActive: the object takes new work.
	StateActive State = "active"
	// StateOut: the object takes no new work; requests that are running complete.
	StateOut State = "out"
)

// DataCentre is a failure domain with its own entry VMs and backend servers.
type DataCentre struct {
	Name string `yaml:"name" json:"name"`
	// Region groups data centres that are close to one another; traffic stays in
	// its region.
	Region string `yaml:"region" json:"region"`
	// State defaults to active.
	State State `yaml:"state,omitempty" json:"state,omitempty"`
	// Weight is the data centre's share of its region's chats; default 100.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty"`
	// MaxInFlight bounds concurrent requests over all services; 0 means unlimited.
	MaxInFlight int `yaml:"maxInFlight,omitempty" json:"maxInFlight,omitempty"`
	// ReturnRamp is how long a data centre whose state changes back to active takes
	// to reach its full weight; default 60s.
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

// ServiceType is the kind of a service's backend servers.
type ServiceType string

// The types of services.
const (
	// TypeModel: the backend servers are model engines with prompt caches.
	TypeModel ServiceType = "model"
	// TypePlain: the backend servers are ordinary HTTP servers.
	TypePlain ServiceType = "plain"
)

// Service is an API that clients request, served by a pool of backend servers.
type Service struct {
	Name string      `yaml:"name" json:"name"`
	Type ServiceType `yaml:"type" json:"type"`
	// DataCentres lists the data centres in which the service runs; empty means
	// all.
	DataCentres []string `yaml:"dataCentres,omitempty" json:"dataCentres,omitempty"`
	// Models lists the models that clients may request; the first is the default.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// Policy names the service's policy.
	Policy string  `yaml:"policy" json:"policy"`
	Routes []Route `yaml:"routes" json:"routes"`
	// Chat says where a request names its chat.
	Chat NameSource `yaml:"chat,omitempty" json:"chat,omitempty"`
	// Workspace says where a request names its workspace; default header
	// X-Workspace.
	Workspace NameSource `yaml:"workspace,omitempty" json:"workspace,omitempty"`
	// Model says where a request names its model; default JSON field "model".
	Model NameSource `yaml:"model,omitempty" json:"model,omitempty"`
	// ChecksFence is set if the backend servers reject requests with a stale
	// fencing number.
	ChecksFence bool `yaml:"checksFence,omitempty" json:"checksFence,omitempty"`
	// AnnounceKey, if set, is the SHA-256 (hex) of the key that announcements must
	// carry.
	AnnounceKey string `yaml:"announceKey,omitempty" json:"announceKey,omitempty"`
}

// NameSource is where a request states a name: in a header or in a top-level field
// of a JSON body.
type NameSource struct {
	Header    string `yaml:"header,omitempty" json:"header,omitempty"`
	JSONField string `yaml:"jsonField,omitempty" json:"jsonField,omitempty"`
}

// Route says how the requests of some methods and of one path or path prefix are
// handled.
type Route struct {
	// Path is an exact path, or a prefix if it ends in "/".
	Path string `yaml:"path" json:"path"`
	// Methods defaults to POST.
	Methods []string `yaml:"methods,omitempty" json:"methods,omitempty"`
	// Repeatable is set if running a request twice does no harm; default false.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Priority ranges from 0 (planners) to 9 (runners at the start); default 5.
	Priority *int `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Deadline bounds the total time of a request; default 120s.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// MaxWait bounds the time that a request waits for admission; default 10s.
	MaxWait Duration `yaml:"maxWait,omitempty" json:"maxWait,omitempty"`
	// MaxBody bounds the request body in bytes; default 1048576.
	MaxBody int64 `yaml:"maxBody,omitempty" json:"maxBody,omitempty"`
}

// BackendServer overrides values that the backend server of that name announces.
type BackendServer struct {
	Name       string `yaml:"name" json:"name"`
	Service    string `yaml:"service" json:"service"`
	DataCentre string `yaml:"dataCentre" json:"dataCentre"`
	// State defaults to active.
	State State `yaml:"state,omitempty" json:"state,omitempty"`
	// MaxInFlight lowers the announced capacity; 0 leaves it unchanged.
	MaxInFlight int `yaml:"maxInFlight,omitempty" json:"maxInFlight,omitempty"`
}

// Workspace is a customer's workspace.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// Services lists the services that the workspace may use; empty means all.
	Services []string `yaml:"services,omitempty" json:"services,omitempty"`
	// Weight is the workspace's share of the capacity under contention; default 100.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty"`
	// MaxInFlight bounds concurrent requests per data centre; 0 means unlimited.
	MaxInFlight int `yaml:"maxInFlight,omitempty" json:"maxInFlight,omitempty"`
	// KeyHash, if set, is the SHA-256 (hex) of the bearer key that clients must
	// send.
	KeyHash string `yaml:"keyHash,omitempty" json:"keyHash,omitempty"`
	// Policy overrides the service's policy; empty leaves it unchanged.
	Policy string `yaml:"policy,omitempty" json:"policy,omitempty"`
}

// Policy holds the tunable parameters of a service.
type Policy struct {
	Name string `yaml:"name" json:"name"`
	// MaxLoadFactor bounds a server's load to this multiple of its pool's mean;
	// default 1.25.
	MaxLoadFactor float64 `yaml:"maxLoadFactor,omitempty" json:"maxLoadFactor,omitempty"`
	// LoadFloor is the mean number of requests in flight per server below which
	// MaxLoadFactor is not applied; default 2.
	LoadFloor float64 `yaml:"loadFloor,omitempty" json:"loadFloor,omitempty"`
	// ColdRamp is how long a server that has become ready takes to reach its full
	// capacity; default 30s.
	ColdRamp Duration `yaml:"coldRamp,omitempty" json:"coldRamp,omitempty"`
	// MaxQueue bounds the admission requests that wait per service and data centre;
	// default 1000.
	MaxQueue int `yaml:"maxQueue,omitempty" json:"maxQueue,omitempty"`
	// RetryRatio bounds attempts beyond the first as a fraction of requests;
	// default 0.1.
	RetryRatio float64 `yaml:"retryRatio,omitempty" json:"retryRatio,omitempty"`
	// MaxAttempts bounds the attempts of one request; default 3.
	MaxAttempts int `yaml:"maxAttempts,omitempty" json:"maxAttempts,omitempty"`
	// SilenceLimit is how long a server may send no announcement before it gets no
	// new work; default 3s.
	SilenceLimit Duration `yaml:"silenceLimit,omitempty" json:"silenceLimit,omitempty"`
	// EjectAfter is the number of consecutive failures after which a server is
	// ejected for EjectTime; default 5.
	EjectAfter int `yaml:"ejectAfter,omitempty" json:"ejectAfter,omitempty"`
	// EjectTime defaults to 10s.
	EjectTime Duration `yaml:"ejectTime,omitempty" json:"ejectTime,omitempty"`
	// ClaimRetention is how long the record of a claim is kept for resent requests;
	// default 24h.
	ClaimRetention Duration `yaml:"claimRetention,omitempty" json:"claimRetention,omitempty"`
	// MaxKeptAnswer bounds the size in bytes of a response that is kept for resent
	// requests; default 16384.
	MaxKeptAnswer int `yaml:"maxKeptAnswer,omitempty" json:"maxKeptAnswer,omitempty"`
	// MaxServersPerWorkspace bounds the number of servers over which a workspace's
	// prompt prefix is spread; 0 means unlimited.
	MaxServersPerWorkspace int `yaml:"maxServersPerWorkspace,omitempty" json:"maxServersPerWorkspace,omitempty"`
}
