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
	// reconcileInterval is how often links are matched to the declared data centres.
	reconcileInterval = 100 * time.Millisecond
	// responseGrace is added to a permit request's WaitMs as the time-out of its response.
	responseGrace = 2 * time.Second
	// noGrantorRetryAfter is the retry-after of requests that fail without a grantor.
	noGrantorRetryAfter = time.Second
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Name and Incarnation identify this run of the router.
	Name        string
	Incarnation string
	// Region limits the sessions to the data centres of one region; empty means
	// all data centres.
	Region string
	// Config returns the configuration in force, or nil if there is none yet.
	Config func() *config.Set
	Dialer *rpc.Dialer
	Log    hclog.Logger
}

// Client keeps a session with the grantor of each data centre. Without a running
// Run, every permit request fails. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	start   time.Time
	pauses  pauseDetector
	mu      sync.RWMutex
	links   map[string]*link
}

// NewClient returns a client without sessions; Run opens them.
func NewClient(o ClientOptions) *Client {
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	return &Client{options: o, start: time.Now(), links: map[string]*link{}}
}

// Run keeps the sessions open until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.detectPauses(ctx) })
	ticker := time.NewTicker(reconcileInterval)
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

// detectPauses ticks the pause detector until ctx ends.
func (c *Client) detectPauses(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.pauses.tick(clock.Elapsed(c.start, time.Now()))
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// reconcile starts a link for each declared data centre of the region and stops
// the links of data centres that are no longer declared.
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

// Acquire requests a permit from the data centre's grantor and sets ask.AskId. If ctx
// ends first, the request is cancelled. An error is an *errkind.Error and means
// that nothing ran.
func (c *Client) Acquire(ctx context.Context, dataCentre string, ask *grantpb.Ask) (*Permit, error) {
	l := c.link(dataCentre)
	if l == nil {
		return nil, errkind.New(errkind.NoGrantor, "no session with the grantor of data centre %s", dataCentre).WithRetryAfter(noGrantorRetryAfter)
	}
	return l.ask(ctx, ask)
}

// Announce forwards a backend server's announcement to the grantor, and keeps it
// to be sent again to a new grantor. If the announcement may have been queued
// during a pause of this process, the length of the pause is added to the age of
// its load figures. The caller must not modify the announcement afterwards.
func (c *Client) Announce(dataCentre string, a *grantpb.Announcement) {
	possibleDelay := c.pauses.possibleDelay(clock.Elapsed(c.start, time.Now()))
	if l := c.link(dataCentre); l != nil {
		l.announce(a, possibleDelay)
	}
}

// Load returns the data centre's load as last reported by its grantor, or nil if
// there is no session.
func (c *Client) Load(dataCentre string) *grantpb.DataCentreLoad {
	if l := c.link(dataCentre); l != nil {
		return l.load.Load()
	}
	return nil
}

// Connected reports whether there is a session with the data centre's grantor.
func (c *Client) Connected(dataCentre string) bool { return c.Load(dataCentre) != nil }
