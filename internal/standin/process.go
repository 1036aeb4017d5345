package standin

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/rpc"
)

const (
	drainTimeout      = 10 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// Process runs a number of servers that share one ledger.
type Process struct {
	conf        Settings
	ledger      *Ledger
	log         hclog.Logger
	servers     []*Server
	httpServers []*http.Server
	ledgerFile  *os.File
}

// Start opens the listeners of all servers and serves them. If one listener cannot
// be opened, it closes the others and returns an error.
func Start(conf Settings, log hclog.Logger) (*Process, error) {
	specs, err := conf.ServerConfigs()
	if err != nil {
		return nil, err
	}
	p := &Process{conf: conf, log: log, ledger: NewLedger(nil)}
	if conf.LedgerFile != "" {
		if p.ledgerFile, err = os.Create(conf.LedgerFile); err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidSettings, "ledgerFile")
		}
		p.ledger = NewLedger(p.ledgerFile)
	}
	listeners := make([]net.Listener, 0, len(specs)+1)
	for _, addr := range listenAddresses(conf, specs) {
		l, err := rpc.Listen(addr, nil)
		if err != nil {
			closeAll(listeners)
			return nil, err
		}
		listeners = append(listeners, l)
	}
	for i, spec := range specs {
		spec.Address = listeners[i].Addr().String()
		s := NewServer(spec, p.ledger)
		p.servers = append(p.servers, s)
		p.serve(listeners[i], s.Handler())
	}
	if len(listeners) > len(specs) {
		p.serve(listeners[len(specs)], p.adminHandler())
	}
	return p, nil
}

func listenAddresses(conf Settings, specs []ServerConfig) []string {
	var out []string
	for _, s := range specs {
		out = append(out, s.Address)
	}
	if conf.Admin != "" {
		out = append(out, conf.Admin)
	}
	return out
}

func closeAll(ls []net.Listener) {
	for _, l := range ls {
		_ = l.Close()
	}
}

func (p *Process) serve(l net.Listener, h http.Handler) {
	hs := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: p.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	p.httpServers = append(p.httpServers, hs)
	go func() { _ = hs.Serve(l) }()
}

// adminHandler serves the ledger of all servers and answers health probes.
func (p *Process) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { _ = p.ledger.WriteTo(w, "") })
	return mux
}

func (p *Process) Servers() []*Server { return p.servers }

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.conf.Address }

// Ledger returns the ledger that all servers of the process share.
func (p *Process) Ledger() *Ledger { return p.ledger }

// Run announces the servers until ctx ends. Then it announces that they are
// leaving, waits for active runs for at most drainTimeout, and closes the process.
func (p *Process) Run(ctx context.Context) {
	var wg sync.WaitGroup
	announcers := make([]*Announcer, len(p.servers))
	for i, s := range p.servers {
		announcers[i] = NewAnnouncer(s, p.conf, i, p.log)
		wg.Go(func() { announcers[i].Run(ctx) })
	}
	p.log.Info("listening", "what", "stand-ins", "servers", len(p.servers), "first", p.firstAddress(), "admin", p.conf.Admin)
	<-ctx.Done()
	wg.Wait()
	p.drain(announcers)
	p.Close()
}

func (p *Process) firstAddress() string {
	if len(p.servers) == 0 {
		return ""
	}
	return p.servers[0].Address()
}

func (p *Process) drain(announcers []*Announcer) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i, s := range p.servers {
			s.Leave()
			announcers[i].Announce(ctx)
		}
		for _, s := range p.servers {
			s.Wait()
		}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close closes all listeners and connections and the ledger file.
func (p *Process) Close() {
	for _, hs := range p.httpServers {
		_ = hs.Close()
	}
	if p.ledgerFile != nil {
		_ = p.ledgerFile.Close()
	}
}
