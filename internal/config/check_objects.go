package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// ResumePath is the path prefix on which routers resume streams; no service may use
// it.
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

func (c *checker) checkDataCentre(o *DataCentre) {
	c.checkName("region", o.Region)
	c.checkState("state", o.State)
	c.checkInt("weight", int64(o.Weight), 1, maxWeight)
	c.checkInt("maxInFlight", int64(o.MaxInFlight), 1, maxInFlight)
	c.checkDuration("returnRamp", o.ReturnRamp, Duration(time.Millisecond), maxReturnRamp)
	c.checkLeaseVoters(o.LeaseVoters)
}

func (c *checker) checkLeaseVoters(voters []LeaseVoter) {
	candidates := 0
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, v := range voters {
		at := fmt.Sprintf("leaseVoters[%d]", i)
		c.checkName(at+".name", v.Name)
		c.checkAddress(at+".address", v.Address)
		if names[v.Name] {
			c.addFault(at+".name", "voter %q is listed twice; remove one", v.Name)
		}
		if addresses[v.Address] {
			c.addFault(at+".address", "address %s is listed twice; each voter is one process", v.Address)
		}
		names[v.Name], addresses[v.Address] = true, true
		if v.Candidate {
			candidates++
		}
	}
	if len(voters) > maxLeaseVoters {
		c.addFault("leaseVoters", "%d voters are too many; give at most %d", len(voters), maxLeaseVoters)
	}
	if len(voters) == 0 {
		c.addFault("leaseVoters", "missing; list the data centre's routers and, if there are only two, a witness from another data centre")
		return
	}
	if candidates == 0 {
		c.addFault("leaseVoters", "no voter is a candidate; set candidate: true for the data centre's own routers")
	}
}

// checkAddress checks that a is an IP address with a port; host names are not
// resolved.
func (c *checker) checkAddress(field, a string) {
	ap, err := netip.ParseAddrPort(a)
	if err != nil || ap.Port() == 0 {
		c.addFault(field, "%q is not a valid address; give an IP address and a port, as in 10.0.0.1:7301", a)
	}
}

func (c *checker) checkService(o *Service) {
	if o.Type != TypeModel && o.Type != TypePlain {
		c.addFault("type", "%q is not a valid type; give %s or %s", o.Type, TypeModel, TypePlain)
	}
	c.checkReferences("dataCentres", KindDataCentre, o.DataCentres)
	c.checkReference("policy", KindPolicy, o.Policy)
	c.checkModels(o)
	if len(o.Routes) == 0 {
		c.addFault("routes", "missing; give at least one route")
	}
	for i, r := range o.Routes {
		c.checkRoute(fmt.Sprintf("routes[%d]", i), r)
	}
	c.checkIdentity("chat", o.Chat)
	c.checkIdentity("workspace", o.Workspace)
	c.checkIdentity("model", o.Model)
	c.checkSHA256("announceKey", o.AnnounceKey)
}

func (c *checker) checkModels(o *Service) {
	if o.Type == TypeModel && len(o.Models) == 0 {
		c.addFault("models", "missing; a service of type model lists at least one")
	}
	if o.Type == TypePlain && len(o.Models) > 0 {
		c.addFault("models", "a service of type plain has no models; remove them or set type: model")
	}
	seen := map[string]bool{}
	for i, m := range o.Models {
		at := fmt.Sprintf("models[%d]", i)
		if m == "" || strings.ContainsAny(m, " \t\r\n") {
			c.addFault(at, "%q is not a valid model name; give one without spaces", m)
		}
		if seen[m] {
			c.addFault(at, "%q is listed twice; remove one", m)
		}
		seen[m] = true
	}
}

func (c *checker) checkRoute(at string, r Route) {
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " ?#") {
		c.addFault(at+".path", "%q is not a valid path; give one that begins with / and has no query", r.Path)
	}
	if strings.HasPrefix(r.Path, ResumePath) {
		c.addFault(at+".path", "%q is reserved for resuming streams; choose another path", r.Path)
	}
	seen := map[string]bool{}
	for i, m := range r.Methods {
		f := fmt.Sprintf("%s.methods[%d]", at, i)
		if !isMethod(m) {
			c.addFault(f, "%q is not a valid method; give one such as GET or POST", m)
		}
		if seen[m] {
			c.addFault(f, "%q is listed twice; remove one", m)
		}
		seen[m] = true
	}
	if r.Priority != nil && (*r.Priority < 0 || *r.Priority > maxPriority) {
		c.addFault(at+".priority", "%d is out of range; give 0 to %d", *r.Priority, maxPriority)
	}
	c.checkDuration(at+".deadline", r.Deadline, minDeadline, maxDeadline)
	c.checkDuration(at+".maxWait", r.MaxWait, Duration(time.Millisecond), maxDeadline)
	deadline := r.Deadline
	setDefault(&deadline, Duration(DefaultDeadline))
	if r.MaxWait > deadline {
		c.addFault(at+".maxWait", "%s is longer than the deadline %s; a request would time out before its wait ends", r.MaxWait, deadline)
	}
	c.checkInt(at+".maxBody", r.MaxBody, 1, maxBodyBytes)
}

func isMethod(m string) bool {
	switch m {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
		return true
	}
	return false
}

// checkIdentity checks the header name and the JSON field. Both may be set; the
// header then takes precedence.
func (c *checker) checkIdentity(field string, id NameSource) {
	if strings.ContainsAny(id.Header, " :\t\r\n") {
		c.addFault(field+".header", "%q is not a valid header name", id.Header)
	}
	if strings.ContainsAny(id.JSONField, ".[]\"") {
		c.addFault(field+".jsonField", "%q is not a top-level field; nested fields are not supported", id.JSONField)
	}
}

func (c *checker) checkSHA256(field, v string) {
	if v == "" {
		return
	}
	if _, err := hex.DecodeString(v); err != nil || len(v) != sha256HexLen || v != strings.ToLower(v) {
		c.addFault(field, "not a SHA-256; give %d hexadecimal digits in lower case, as sha256sum prints them", sha256HexLen)
	}
}

func (c *checker) checkBackendServer(o *BackendServer) {
	c.checkReference("service", KindService, o.Service)
	c.checkReference("dataCentre", KindDataCentre, o.DataCentre)
	c.checkState("state", o.State)
	c.checkInt("maxInFlight", int64(o.MaxInFlight), 1, maxInFlight)
	svc := c.set.Services[o.Service]
	if svc != nil && c.set.DataCentres[o.DataCentre] != nil && !runsIn(svc, o.DataCentre) {
		c.addFault("dataCentre", "service %q does not run in %q; correct one of them", o.Service, o.DataCentre)
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

func (c *checker) checkWorkspace(o *Workspace) {
	c.checkReferences("services", KindService, o.Services)
	c.checkInt("weight", int64(o.Weight), 1, maxWeight)
	c.checkInt("maxInFlight", int64(o.MaxInFlight), 1, maxInFlight)
	c.checkSHA256("keyHash", o.KeyHash)
	if o.Policy != "" {
		c.checkReference("policy", KindPolicy, o.Policy)
	}
}

func (c *checker) checkPolicy(o *Policy) {
	c.checkFloat("maxLoadFactor", o.MaxLoadFactor, 1.01, maxLoadFactor)
	c.checkFloat("loadFloor", o.LoadFloor, 0.001, maxInFlight)
	c.checkDuration("coldRamp", o.ColdRamp, Duration(time.Millisecond), maxReturnRamp)
	c.checkInt("maxQueue", int64(o.MaxQueue), 1, maxQueue)
	c.checkFloat("retryRatio", o.RetryRatio, 0.001, 1)
	c.checkInt("maxAttempts", int64(o.MaxAttempts), 1, maxAttempts)
	c.checkDuration("silenceLimit", o.SilenceLimit, minSilence, maxSilence)
	c.checkInt("ejectAfter", int64(o.EjectAfter), 1, maxQueue)
	c.checkDuration("ejectTime", o.EjectTime, Duration(time.Millisecond), maxReturnRamp)
	c.checkDuration("claimRetention", o.ClaimRetention, minClaimRetention, maxClaimRetention)
	c.checkInt("maxKeptAnswer", int64(o.MaxKeptAnswer), 1, maxKeptAnswer)
	c.checkInt("maxServersPerWorkspace", int64(o.MaxServersPerWorkspace), 1, maxInFlight)
}
