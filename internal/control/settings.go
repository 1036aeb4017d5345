package control

import (
	"net"

	pb "github.com/kumquathollow/kumquathollow/api/replicationpb"
	"github.com/kumquathollow/kumquathollow/internal/errkind"
	"github.com/kumquathollow/kumquathollow/internal/settings"
)

// Settings is the YAML file of a control process.
type Settings struct {
	// Node is the name of the process and its voter id.
	Node string `yaml:"node"`
	// DataCentre is the data centre that the process runs in.
	DataCentre string `yaml:"dataCentre"`
	// Address is the host:port at which other processes and operators reach the process.
	Address string `yaml:"address"`
	// Admin is the HTTP address of /metrics, /healthz and /readyz.
	Admin string `yaml:"admin"`
	// Data is the folder for the replicated state. It must hold nothing else.
	Data string `yaml:"data"`
	// Voters lists the voters that bootstrap the group, including this one. The list is
	// the same on all of them.
	Voters []VoterSetting `yaml:"voters"`
	TLS    settings.TLS   `yaml:"tls,omitempty"`
	Log    settings.Log   `yaml:"log,omitempty"`
}

// VoterSetting is one voter of the control group.
type VoterSetting struct {
	ID      string `yaml:"id"`
	Address string `yaml:"address"`
}

// LoadSettings reads and checks a settings file. Errors have kind invalid-settings.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{}
	if err := settings.Load(path, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *Settings) check() error {
	err := settings.Require(
		settings.Field{Name: "node", Value: s.Node},
		settings.Field{Name: "dataCentre", Value: s.DataCentre},
		settings.Field{Name: "address", Value: s.Address},
		settings.Field{Name: "admin", Value: s.Admin},
		settings.Field{Name: "data", Value: s.Data},
	)
	if err == nil {
		err = settings.CheckAddresses(s.Address, s.Admin)
	}
	if err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, v := range s.Voters {
		if v.ID == "" || seen[v.ID] {
			return errkind.New(errkind.InvalidSettings, "voters: id %q is empty or given twice", v.ID)
		}
		if _, _, err := net.SplitHostPort(v.Address); err != nil {
			return errkind.Wrap(err, errkind.InvalidSettings, "voters: address %q", v.Address)
		}
		seen[v.ID] = true
	}
	return nil
}

func (s *Settings) declaredVoters() []*pb.Voter {
	var out []*pb.Voter
	for _, v := range s.Voters {
		out = append(out, &pb.Voter{Id: v.ID, Address: v.Address})
	}
	return out
}
