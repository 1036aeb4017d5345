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

// WithDefaults returns the set with all defaults applied. A set that already has
// them is returned as it is.
func (s *Set) WithDefaults() *Set { return s.withDefaultsFrom(nil, nil) }

// WithDefaultsFrom is WithDefaults for a set that Apply derived from declared.
// defaulted must be declared.WithDefaults(): an object that s shares with declared is
// taken from defaulted instead of being copied again.
func (s *Set) WithDefaultsFrom(declared, defaulted *Set) *Set {
	return s.withDefaultsFrom(declared, defaulted)
}

func (s *Set) withDefaultsFrom(declared, defaulted *Set) *Set {
	if s.defaulted {
		return s
	}
	next := NewSet(s.Revision)
	next.defaulted = true
	next.origins = s.origins
	s.each(func(o object) {
		if declared != nil && defaulted != nil && declared.get(o.key()) == o {
			next.put(defaulted.get(o.key()))
			return
		}
		next.put(o.withDefaults())
	})
	return next
}

// setDefault sets *v to def if it is zero.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (o *DataCentre) withDefaults() object {
	c := *o
	setDefault(&c.State, StateActive)
	setDefault(&c.Weight, DefaultWeight)
	setDefault(&c.ReturnRamp, Duration(DefaultReturnRamp))
	return &c
}

func (o *Service) withDefaults() object {
	c := *o
	if c.Chat == (NameSource{}) {
		c.Chat.Header = DefaultChatHeader
		if c.Type == TypeModel {
			c.Chat.JSONField = DefaultChatField
		}
	}
	if c.Workspace == (NameSource{}) {
		c.Workspace.Header = DefaultWorkspaceHeader
	}
	if c.Model == (NameSource{}) && c.Type == TypeModel {
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
	setDefault(&r.Deadline, Duration(DefaultDeadline))
	setDefault(&r.MaxWait, min(Duration(DefaultMaxWait), r.Deadline))
	setDefault(&r.MaxBody, DefaultMaxBody)
	return r
}

func (o *BackendServer) withDefaults() object {
	if o.State != "" {
		return o
	}
	c := *o
	c.State = StateActive
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
	setDefault(&c.MaxLoadFactor, DefaultMaxLoadFactor)
	setDefault(&c.LoadFloor, DefaultLoadFloor)
	setDefault(&c.ColdRamp, Duration(DefaultColdRamp))
	setDefault(&c.MaxQueue, DefaultMaxQueue)
	setDefault(&c.RetryRatio, DefaultRetryRatio)
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.SilenceLimit, Duration(DefaultSilenceLimit))
	setDefault(&c.EjectAfter, DefaultEjectAfter)
	setDefault(&c.EjectTime, Duration(DefaultEjectTime))
	setDefault(&c.ClaimRetention, Duration(DefaultClaimRetention))
	setDefault(&c.MaxKeptAnswer, DefaultMaxKeptAnswer)
	return &c
}
