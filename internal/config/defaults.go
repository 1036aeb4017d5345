package config

import "time"

// Defaults of the declared fields; docs/CONFIGURATION.md lists them.
const (
	DefaultWeight         = 100
	DefaultReturnRamp     = 60 * time.Second
	DefaultPriority       = 5
	DefaultDeadline       = 120 * time.Second
	DefaultMaxWait        = 10 * time.Second
	DefaultMaxBody        = 1 << 20 // bytes
	DefaultMaxLoadFactor  = 1.25
	DefaultLoadFloor      = 2.0
	DefaultColdRamp       = 30 * time.Second
	DefaultMaxQueue       = 1000
	DefaultRetryRatio     = 0.1
	DefaultMaxAttempts    = 3
	DefaultSilenceLimit   = 3 * time.Second
	DefaultEjectAfter     = 5
	DefaultEjectTime      = 10 * time.Second
	DefaultClaimRetention = 24 * time.Hour
	DefaultMaxKeptAnswer  = 16384 // bytes

	DefaultWorkspaceHeader = "X-Workspace"
	DefaultChatHeader      = "X-Chat"
	DefaultChatField       = "chat"
	DefaultModelField      = "model"
	DefaultMethod          = "POST"
)

// WithDefaults returns the set with all defaults filled in. A set that has
// them already is returned as it is.
func (s *Set) WithDefaults() *Set { return s.withDefaultsFrom(nil, nil) }

// WithDefaultsFrom is WithDefaults for a set that was made by Apply from
// declared: objects that s shares with declared share their filled-in form with
// filled, which must be declared.WithDefaults().
func (s *Set) WithDefaultsFrom(declared, filled *Set) *Set {
	return s.withDefaultsFrom(declared, filled)
}

func (s *Set) withDefaultsFrom(declared, filled *Set) *Set {
	if s.filled {
		return s
	}
	next := NewSet(s.Revision)
	next.filled = true
	next.sources = s.sources
	s.each(func(o object) {
		if declared != nil && filled != nil && declared.get(o.key()) == o {
			next.put(filled.get(o.key()))
			return
		}
		next.put(o.withDefaults())
	})
	return next
}

// fill sets *v to def if it is zero.
func fill[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (o *DataCentre) withDefaults() object {
	c := *o
	fill(&c.State, Active)
	fill(&c.Weight, DefaultWeight)
	fill(&c.ReturnRamp, Duration(DefaultReturnRamp))
	return &c
}

func (o *Service) withDefaults() object {
	c := *o
	if c.Chat == (Identity{}) {
		c.Chat.Header = DefaultChatHeader
		if c.Type == Model {
			c.Chat.JSONField = DefaultChatField
		}
	}
	if c.Workspace == (Identity{}) {
		c.Workspace.Header = DefaultWorkspaceHeader
	}
	if c.Model == (Identity{}) && c.Type == Model {
		c.Model.JSONField = DefaultModelField
	}
	c.Routes = make([]Route, len(o.Routes))
	for i, r := range o.Routes {
		c.Routes[i] = r.withDefaults()
	}
	return &c
}

func (r Route) withDefaults() Route {
	if len(r.Methods) == 0 {
		r.Methods = []string{DefaultMethod}
	}
	if r.Priority == nil {
		p := DefaultPriority
		r.Priority = &p
	}
	fill(&r.Deadline, Duration(DefaultDeadline))
	fill(&r.MaxWait, min(Duration(DefaultMaxWait), r.Deadline))
	fill(&r.MaxBody, DefaultMaxBody)
	return r
}

func (o *BackendServer) withDefaults() object {
	if o.State != "" {
		return o
	}
	c := *o
	c.State = Active
	return &c
}

func (o *Workspace) withDefaults() object {
	if o.Weight != 0 {
		return o
	}
	c := *o
	c.Weight = DefaultWeight
	return &c
}

func (o *Policy) withDefaults() object {
	c := *o
	fill(&c.MaxLoadFactor, DefaultMaxLoadFactor)
	fill(&c.LoadFloor, DefaultLoadFloor)
	fill(&c.ColdRamp, Duration(DefaultColdRamp))
	fill(&c.MaxQueue, DefaultMaxQueue)
	fill(&c.RetryRatio, DefaultRetryRatio)
	fill(&c.MaxAttempts, DefaultMaxAttempts)
	fill(&c.SilenceLimit, Duration(DefaultSilenceLimit))
	fill(&c.EjectAfter, DefaultEjectAfter)
	fill(&c.EjectTime, Duration(DefaultEjectTime))
	fill(&c.ClaimRetention, Duration(DefaultClaimRetention))
	fill(&c.MaxKeptAnswer, DefaultMaxKeptAnswer)
	return &c
}
