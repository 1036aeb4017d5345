package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/keys"
)

func (a *app) keysInit() error {
	valid := a.validity
	if valid == defaultValidity {
		valid = authorityValidity
	}
	if err := keys.CreateAuthority(a.path, valid); err != nil {
		return err
	}
	a.printResult(map[string]string{"folder": a.path}, func(w io.Writer) {
		fmt.Fprintf(w, "authority created in %s; keep %s there offline and give %s to every process\n", a.path, keys.CAKeyFile, keys.CACertFile)
	})
	return nil
}

func (a *app) keysIssue() error {
	if a.role == "" || a.name == "" {
		return errkind.New(errkind.Usage, "give --role and --name")
	}
	cert, key, err := keys.IssueCertificate(a.path, a.out, a.role, a.name, a.validity)
	if err != nil {
		return err
	}
	a.printResult(map[string]string{"cert": cert, "key": key}, func(w io.Writer) {
		fmt.Fprintf(w, "certificate %s\nkey %s\n", cert, key)
	})
	return nil
}

// certView is the JSON output for a certificate.
type certView struct {
	Name      string    `json:"name"`
	Role      string    `json:"role"`
	Authority bool      `json:"authority"`
	Serial    string    `json:"serial"`
	NotBefore time.Time `json:"notBefore"`
	NotAfter  time.Time `json:"notAfter"`
}

func (a *app) keysInspect() error {
	c, err := keys.LoadCertificate(a.path)
	if err != nil {
		return err
	}
	v := certView{Name: c.Subject.CommonName, Authority: c.IsCA, Serial: c.SerialNumber.Text(16), NotBefore: c.NotBefore, NotAfter: c.NotAfter}
	if !c.IsCA {
		if v.Name, v.Role, err = keys.Identity(c); err != nil {
			return err
		}
	}
	a.printResult(v, func(w io.Writer) {
		fmt.Fprintf(w, "name %s\nrole %s\nserial %s\nvalid %s to %s\n", v.Name, orElse(v.Role, "authority"), v.Serial,
			v.NotBefore.UTC().Format(time.RFC3339), v.NotAfter.UTC().Format(time.RFC3339))
	})
	return nil
}
