package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// ResumePath is where routers resume streams; no service may take it.
const ResumePath = "/v1/resume/"

// Limits of the declared fields.
const (
	maxWeight         = 10_000
	maxInFlight       = 1_000_000
	maxReturnRamp     = Duration(24 * time.Hour)
	maxLeaseVoters    = 9
	maxPriority       = 9
	minDeadline       = Duration(10 * time.Millisecond)
	maxDeadline       = Duration(time.Hour)
	maxBodyBytes      = 1 << 30
	maxLoadFactor     = 100
	maxQueue          = 1_000_000
	maxAttempts       = 10
	minSilence        = Duration(100 * time.Millisecond)
	maxSilence        = Duration(5 * time.Minute)
	minClaimRetention = Duration(time.Minute)
	maxClaimRetention = Duration(30 * 24 * time.Hour)
	maxKeptAnswer     = 1 << 20
	sha256HexLen      = 64
)

func (c *check) dataCentre(o *DataCentre) {
	c.name("region", o.Region)
	c.state("state", o.State)
	c.intIn("weight", int64(o.Weight), 1, maxWeight)
	c.intIn("maxInFlight", int64(o.MaxInFlight), 1, maxInFlight)
	c.durationIn("returnRamp", o.ReturnRamp, Duration(time.Millisecond), maxReturnRamp)
	c.leaseVoters(o.LeaseVoters)
}

func (c *check) leaseVoters(voters []LeaseVoter) {
	candidates := 0
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, v := range voters {
		at := fmt.Sprintf("leaseVoters[%d]", i)
		c.name(at+".name", v.Name)
		c.address(at+".address", v.Address)
		if names[v.Name] {
			c.fault(at+".name", "voter %q is listed twice; remove one", v.Name)
		}
		if addresses[v.Address] {
			c.fault(at+".address", "address %s is listed twice; each voter is one process", v.Address)
		}
		names[v.Name], addresses[v.Address] = true, true
		if v.Candidate {
			candidates++
		}
	}
	if len(voters) > maxLeaseVoters {
		c.fault("leaseVoters", "%d voters are too many; give at most %d", len(voters), maxLeaseVoters)
	}
	if len(voters) == 0 {
		c.fault("leaseVoters", "missing; list the data centre's routers, and a witness from another data centre if they are two")
		return
	}
	if candidates == 0 {
		c.fault("leaseVoters", "no voter is a candidate; set candidate: true for the data centre's own routers")
	}
}

// address checks for an IP number and a port; names are not looked up.
func (c *check) address(field, a string) {
	ap, err := netip.ParseAddrPort(a)
	if err != nil || ap.Port() == 0 {
		c.fault(field, "%q is no address; give an IP number and a port, as in 10.0.0.1:7301", a)
	}
}

func (c *check) service(o *Service) {
	if o.Type != Model && o.Type != Plain {
		c.fault("type", "%q is no type; give %s or %s", o.Type, Model, Plain)
	}
	c.refs("dataCentres", KindDataCentre, o.DataCentres)
	c.ref("policy", KindPolicy, o.Policy)
	c.models(o)
	if len(o.Routes) == 0 {
		c.fault("routes", "missing; give at least one route")
	}
	for i, r := range o.Routes {
		c.route(fmt.Sprintf("routes[%d]", i), r)
	}
	c.identity("chat", o.Chat)
	c.identity("workspace", o.Workspace)
	c.identity("model", o.Model)
	c.sha256("announceKey", o.AnnounceKey)
}

func (c *check) models(o *Service) {
	if o.Type == Model && len(o.Models) == 0 {
		c.fault("models", "missing; a service of type model lists at least one")
	}
	if o.Type == Plain && len(o.Models) > 0 {
		c.fault("models", "a service of type plain has no models; remove them or set type: model")
	}
	seen := map[string]bool{}
	for i, m := range o.Models {
		at := fmt.Sprintf("models[%d]", i)
		if m == "" || strings.ContainsAny(m, " \t\r\n") {
			c.fault(at, "%q is no model's name; give one without spaces", m)
		}
		if seen[m] {
			c.fault(at, "%q is listed twice; remove one", m)
		}
		seen[m] = true
	}
}

func (c *check) route(at string, r Route) {
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " ?#") {
		c.fault(at+".path", "%q is no path; give one that begins with / and has no query", r.Path)
	}
	if strings.HasPrefix(r.Path, ResumePath) {
		c.fault(at+".path", "%q is kept for resuming streams; choose another path", r.Path)
	}
	seen := map[string]bool{}
	for i, m := range r.Methods {
		f := fmt.Sprintf("%s.methods[%d]", at, i)
		if !isMethod(m) {
			c.fault(f, "%q is no method; give one such as GET or POST", m)
		}
		if seen[m] {
			c.fault(f, "%q is listed twice; remove one", m)
		}
		seen[m] = true
	}
	if r.Priority != nil && (*r.Priority < 0 || *r.Priority > maxPriority) {
		c.fault(at+".priority", "%d is out of range; give 0 to %d", *r.Priority, maxPriority)
	}
	c.durationIn(at+".deadline", r.Deadline, minDeadline, maxDeadline)
	c.durationIn(at+".maxWait", r.MaxWait, Duration(time.Millisecond), maxDeadline)
	deadline := r.Deadline
	fill(&deadline, Duration(DefaultDeadline))
	if r.MaxWait > deadline {
		c.fault(at+".maxWait", "%s is longer than the deadline %s; a request would be given up before its wait ends", r.MaxWait, deadline)
	}
	c.intIn(at+".maxBody", r.MaxBody, 1, maxBodyBytes)
}

func isMethod(m string) bool {
	switch m {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
		return true
	}
	return false
}

// identity checks a header's name; both places may be given, the header first.
func (c *check) identity(field string, id Identity) {
	if strings.ContainsAny(id.Header, " :\t\r\n") {
		c.fault(field+".header", "%q is no header's name", id.Header)
	}
	if strings.ContainsAny(id.JSONField, ".[]\"") {
		c.fault(field+".jsonField", "%q is no top-level field; nested fields are not supported", id.JSONField)
	}
}

func (c *check) sha256(field, v string) {
	if v == "" {
		return
	}
	if _, err := hex.DecodeString(v); err != nil || len(v) != sha256HexLen || v != strings.ToLower(v) {
		c.fault(field, "not a SHA-256; give %d hexadecimal digits in small letters, as sha256sum prints them", sha256HexLen)
	}
}

func (c *check) backendServer(o *BackendServer) {
	c.ref("service", KindService, o.Service)
	c.ref("dataCentre", KindDataCentre, o.DataCentre)
	c.state("state", o.State)
	c.intIn("maxInFlight", int64(o.MaxInFlight), 1, maxInFlight)
	svc := c.set.Services[o.Service]
	if svc != nil && c.set.DataCentres[o.DataCentre] != nil && !runsIn(svc, o.DataCentre) {
		c.fault("dataCentre", "service %q does not run in %q; correct one of them", o.Service, o.DataCentre)
	}
}

// runsIn reports whether the service runs in the data centre.
func runsIn(s *Service, dataCentre string) bool {
	for _, d := range s.DataCentres {
		if d == dataCentre {
			return true
		}
	}
	return len(s.DataCentres) == 0
}

func (c *check) workspace(o *Workspace) {
	c.refs("services", KindService, o.Services)
	c.intIn("weight", int64(o.Weight), 1, maxWeight)
	c.intIn("maxInFlight", int64(o.MaxInFlight), 1, maxInFlight)
	c.sha256("keyHash", o.KeyHash)
	if o.Policy != "" {
		c.ref("policy", KindPolicy, o.Policy)
	}
}

func (c *check) policy(o *Policy) {
	c.floatIn("maxLoadFactor", o.MaxLoadFactor, 1.01, maxLoadFactor)
	c.floatIn("loadFloor", o.LoadFloor, 0.001, maxInFlight)
	c.durationIn("coldRamp", o.ColdRamp, Duration(time.Millisecond), maxReturnRamp)
	c.intIn("maxQueue", int64(o.MaxQueue), 1, maxQueue)
	c.floatIn("retryRatio", o.RetryRatio, 0.001, 1)
	c.intIn("maxAttempts", int64(o.MaxAttempts), 1, maxAttempts)
	c.durationIn("silenceLimit", o.SilenceLimit, minSilence, maxSilence)
	c.intIn("ejectAfter", int64(o.EjectAfter), 1, maxQueue)
	c.durationIn("ejectTime", o.EjectTime, Duration(time.Millisecond), maxReturnRamp)
	c.durationIn("claimRetention", o.ClaimRetention, minClaimRetention, maxClaimRetention)
	c.intIn("maxKeptAnswer", int64(o.MaxKeptAnswer), 1, maxKeptAnswer)
	c.intIn("maxServersPerWorkspace", int64(o.MaxServersPerWorkspace), 1, maxInFlight)
}
