package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/kumquathollow/kumquathollow/api/controlpb"
)

func (a *app) voterAdd() error {
	return a.changeVoter(&controlpb.ChangeVoterRequest{Add: true, Id: a.target, Address: a.to}, "added")
}

func (a *app) voterRemove() error {
	return a.changeVoter(&controlpb.ChangeVoterRequest{Id: a.target}, "removed")
}

func (a *app) changeVoter(req *controlpb.ChangeVoterRequest, done string) error {
	err := a.client.call(a.ctx, func(ctx context.Context, c controlpb.DRPCControlClient) error {
		_, err := c.ChangeVoter(ctx, req)
		return err
	})
	if err != nil {
		return err
	}
	a.printResult(map[string]string{"voter": req.Id, "done": done}, func(w io.Writer) {
		fmt.Fprintf(w, "voter %s %s\n", req.Id, done)
	})
	return nil
}
