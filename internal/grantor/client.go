package grantor

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/clock"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	// reconcileEvery is the time between looks at which data centres are declared.
	reconcileEvery = 100 * time.Millisecond
	// answerGrace is how long beyond its wait an ask's answer may take.
	answerGrace = 2 * time.Second
	// noGrantorRetry is the advice while no session is up.
	noGrantorRetry = time.Second
)

// ClientOptions are what a Client needs.
type ClientOptions struct {
	// Name and Incarnation name this run of the router.
	Name        string
	Incarnation string
	// Region is the region whose data centres the client keeps sessions with;
	// empty means all.
	Region string
	// Config returns the set in force, or nil.
	Config func() *config.Set
	Dialer *rpc.Dialer
	Log    hclog.Logger
}

// Client keeps a session with the grantor of each data centre. Run must be
// running for asks to be answered. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	start   time.Time
	waits   waitWatch
	mu      sync.RWMutex
	links   map[string]*link
}

// NewClient returns a client without sessions.
func NewClient(o ClientOptions) *Client {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	return &Client{options: o, start: time.Now(), links: map[string]*link{}}
}

// Run keeps the sessions until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.watch(ctx) })
	ticker := time.NewTicker(reconcileEvery)
	defer ticker.Stop()
	cancels := map[string]context.CancelFunc{}
	for {
		c.reconcile(ctx, &wg, cancels)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// watch notes pauses of the process.
func (c *Client) watch(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.waits.tick(clock.Elapsed(c.start, time.Now()))
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// reconcile starts links of declared data centres and ends those of others.
func (c *Client) reconcile(ctx context.Context, wg *sync.WaitGroup, cancels map[string]context.CancelFunc) {
	set := c.options.Config()
	if set == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, dc := range set.DataCentres {
		if cancels[name] != nil || (c.options.Region != "" && dc.Region != c.options.Region) {
			continue
		}
		l := newLink(c.options, name)
		lctx, cancel := context.WithCancel(ctx)
		c.links[name], cancels[name] = l, cancel
		wg.Go(func() { l.run(lctx) })
	}
	for name, cancel := range cancels {
		if set.DataCentres[name] == nil {
			cancel()
			delete(cancels, name)
			delete(c.links, name)
		}
	}
}

func (c *Client) link(dataCentre string) *link {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.links[dataCentre]
}

// Ask asks the data centre's grantor for a place. The error is an
// *errkind.Error; nothing ran. AskId is filled in. If ctx ends first the ask is
// withdrawn.
func (c *Client) Ask(ctx context.Context, dataCentre string, ask *grantpb.Ask) (*Permit, error) {
	l := c.link(dataCentre)
	if l == nil {
		return nil, errkind.New(errkind.NoGrantor, "no session with the grantor of %s", dataCentre).WithRetryAfter(noGrantorRetry)
	}
	return l.ask(ctx, ask)
}

// Announce passes on what a backend server said of itself, and keeps it for a
// new grantor. Its load figures count as older if it may have waited through a
// pause of this process. The announcement must not be changed afterwards.
func (c *Client) Announce(dataCentre string, a *grantpb.Announcement) {
	waited := c.waits.waited(clock.Elapsed(c.start, time.Now()))
	if l := c.link(dataCentre); l != nil {
		l.announce(a, waited)
	}
}

// Load returns the data centre's load as its grantor last told it; nil if no
// session is up.
func (c *Client) Load(dataCentre string) *grantpb.DataCentreLoad {
	if l := c.link(dataCentre); l != nil {
		return l.load.Load()
	}
	return nil
}

// Connected reports whether a session with the data centre's grantor is up.
func (c *Client) Connected(dataCentre string) bool { return c.Load(dataCentre) != nil }
