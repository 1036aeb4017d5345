package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
	"github.com/kumquathollow/kumquathollow/internal/config"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
)

// maxDrainTries bounds how often a drain that lost a race is made again. It
// sets one field, so another operator's change does not clash with it.
const maxDrainTries = 5

func (a *app) drain() error   { return a.setState("drain", config.Out) }
func (a *app) undrain() error { return a.setState("undrain", config.Active) }

// setState changes the state of the data centre or backend server at hand.
func (a *app) setState(action string, state config.State) error {
	kind, name, err := parseTarget(a.target)
	if err != nil {
		return err
	}
	if a.local != "" {
		return a.override(kind, name, state)
	}
	for try := 1; ; try++ {
		err := a.declareState(action, kind, name, state)
		if try == maxDrainTries || !errkind.Is(err, errkind.RevisionConflict) {
			return err
		}
	}
}

// parseTarget reads dc/NAME or server/NAME.
func parseTarget(target string) (kind, name string, err error) {
	prefix, name, ok := strings.Cut(target, "/")
	switch {
	case ok && name != "" && prefix == "dc":
		return config.KindDataCentre, name, nil
	case ok && name != "" && prefix == "server":
		return config.KindBackendServer, name, nil
	}
	return "", "", errkind.New(errkind.Usage, "%q is no target; give dc/NAME or server/NAME", target)
}

// declareState makes the change through the control group.
func (a *app) declareState(action, kind, name string, state config.State) error {
	base, err := a.newest()
	if err != nil {
		return err
	}
	next, err := a.withState(base, kind, name, state)
	if err != nil {
		return err
	}
	req, err := a.changeTo(base, next, action)
	if err != nil {
		return err
	}
	if req == nil {
		return a.unchanged(base)
	}
	return a.submit(base, req)
}

// withState returns base with the object's state set. A server that is not
// declared is declared with the service and data centre of the flags.
func (a *app) withState(base *config.Set, kind, name string, state config.State) (*config.Set, error) {
	if kind == config.KindDataCentre {
		d, ok := base.DataCentres[name]
		if !ok {
			return nil, errkind.New(errkind.NotFound, "there is no data centre %q", name)
		}
		c := *d
		c.State = state
		return base.With(&c), nil
	}
	s, ok := base.BackendServers[name]
	if !ok {
		if a.service == "" || a.dc == "" {
			return nil, errkind.New(errkind.NotFound, "backend server %q is not declared; give --service and --dc to declare it", name)
		}
		s = &config.BackendServer{Name: name, Service: a.service, DataCentre: a.dc}
	}
	c := *s
	c.State = state
	return base.With(&c), nil
}

// override asks the grantor of a data centre that is cut off. It lasts until it
// is taken back or the data centre has the same state by configuration.
func (a *app) override(kind, name string, state config.State) error {
	ctx, cancel := context.WithTimeout(a.ctx, a.timeout)
	defer cancel()
	prefix := map[string]string{config.KindDataCentre: "dataCentre/", config.KindBackendServer: "backendServer/"}
	req := &grantpb.OverrideRequest{Target: prefix[kind] + name, Out: state == config.Out, Reason: a.comment}
	addr, err := a.grantorAddress(ctx)
	if err != nil {
		return err
	}
	conn := a.client.dialer.Conn(ctx, addr)
	defer conn.Close()
	if _, err := grantpb.NewDRPCGrantorClient(conn).Override(ctx, req); err != nil {
		return err
	}
	a.show(map[string]any{"target": req.Target, "out": req.Out, "grantor": addr}, func(w io.Writer) {
		fmt.Fprintf(w, "%s is %s at the grantor %s; declare the same once control can be reached\n", a.target, state, addr)
	})
	return nil
}

// grantorAddress returns the address of the grantor that the router at the flag
// --local knows: its own, or that of the holder of the lease.
func (a *app) grantorAddress(ctx context.Context) (string, error) {
	st, err := a.grantorStatus(ctx)
	if err != nil {
		return "", err
	}
	if st.HoldsLease {
		return a.local, nil
	}
	if st.HolderAddress == "" {
		return "", errkind.New(errkind.NoGrantor, "%s knows no grantor of its data centre; ask another router", a.local)
	}
	return st.HolderAddress, nil
}

func (a *app) grantorStatus(ctx context.Context) (*grantpb.GrantorStatusResponse, error) {
	conn := a.client.dialer.Conn(ctx, a.local)
	defer conn.Close()
	return grantpb.NewDRPCGrantorClient(conn).GrantorStatus(ctx, &grantpb.GrantorStatusRequest{})
}

// grantor prints what a data centre's grantor sees.
func (a *app) grantor() error {
	ctx, cancel := context.WithTimeout(a.ctx, a.timeout)
	defer cancel()
	st, err := a.grantorStatus(ctx)
	if err != nil {
		return err
	}
	a.show(st, func(w io.Writer) { printGrantor(w, st) })
	return nil
}
