package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquathollow/kumquathollow/api/fleetpb"
)

func TestMonitorReportsCrashesForAWhile(t *testing.T) {
	m := NewMonitor()
	if !m.RecordCrash(crashOf(1, part(7)), epoch) || m.RecordCrash(crashOf(1, part(7)), epoch) || !m.RecordCrash(crashOf(1, part(8)), epoch) {
		t.Error("only new suspects are news")
	}
	crashes, _ := m.Reports(false, epoch.Add(reportRetention))
	if len(crashes) != 1 || !slices.Equal(crashes[0].Suspects, []Subject{part(7), part(8)}) {
		t.Errorf("reported %v", crashes)
	}
	if crashes, _ = m.Reports(false, epoch.Add(reportRetention+1)); len(crashes) != 0 {
		t.Errorf("reported %v after the retention", crashes)
	}
	for n := range 2 * maxReports {
		m.RecordCrash(crashOf(100+n, part(7)), epoch.Add(time.Minute))
	}
	if crashes, _ = m.Reports(false, epoch.Add(time.Minute)); len(crashes) != maxReports {
		t.Errorf("%d crashes reported at once", len(crashes))
	}
}

// Only a success after the first crash speaks for a suspect.
func TestMonitorReportsLaterSurvivalsOfSuspects(t *testing.T) {
	m, now := NewMonitor(), epoch
	m.RecordSurvival([]Subject{part(1), part(2)}, now)
	now = now.Add(2 * time.Second)
	m.SetSuspects([]*fleetpb.SuspectPart{{Part: 1, AgeMs: 1000}, {Part: 2, AgeMs: 3000}}, now)
	if _, survived := m.Reports(false, now); !slices.Equal(survived, []Subject{part(2)}) {
		t.Errorf("survived %v, want part 2, whose first crash was earlier", survived)
	}
	m.RecordSurvival([]Subject{part(1), part(5)}, now)
	_, survived := m.Reports(false, now)
	slices.SortFunc(survived, Subject.Compare)
	if !slices.Equal(survived, []Subject{part(1), part(2)}) {
		t.Errorf("survived %v", survived)
	}
	if !m.Suspected([]Subject{part(9), part(1)}, now) || m.Suspected([]Subject{part(9)}, now) || m.Suspected([]Subject{part(1)}, now.Add(suspectTTL+1)) {
		t.Error("suspects are not those that the directory told of lately")
	}
}

// A directory process that has just started must learn of earlier crashes, without the
// suspects with which requests have succeeded since.
func TestMonitorRemembersCrashesForNewProcesses(t *testing.T) {
	m, now := NewMonitor(), epoch
	m.RecordCrash(crashOf(1, part(7), part(8)), now)
	m.RecordSurvival([]Subject{part(8)}, now.Add(time.Second))
	now = now.Add(time.Minute)
	if crashes, _ := m.Reports(false, now); len(crashes) != 0 {
		t.Errorf("repeated %v after a minute", crashes)
	}
	crashes, _ := m.Reports(true, now)
	if len(crashes) != 1 || !slices.Equal(crashes[0].Suspects, []Subject{part(7)}) {
		t.Fatalf("remembered %v, want a crash with part 7", crashes)
	}
	if sent := EncodeCrashes(crashes, now); sent[0].AgeMs != 60_000 || !DecodeCrashes(sent, now)[0].At.Equal(epoch) {
		t.Errorf("sent %v", sent)
	}
	if crashes, _ := m.Reports(true, now.Add(crashRetention)); len(crashes) != 0 {
		t.Errorf("remembered %v for longer than the directory counts it", crashes)
	}
}

func TestTestsBecomeRarer(t *testing.T) {
	for subject, waits := range map[Subject]map[uint32]time.Duration{
		part(1):    {1: 30 * time.Second, 2: time.Minute, 3: 2 * time.Minute, 40: time.Hour},
		request(1): {1: 10 * time.Second, 2: 80 * time.Second, 3: 640 * time.Second, 40: 24 * time.Hour},
	} {
		for strikes, want := range waits {
			if got := subject.TestAfter(strikes); got != want {
				t.Errorf("%s after %d strikes: %s, want %s", subject, strikes, got, want)
			}
		}
	}
}
