package ctl

import (
	"time"

	"github.com/integrii/flaggy"

	"github.com/kumquathollow/kumquathollow/internal/version"
)

const (
	defaultTimeout    = 10 * time.Second
	defaultWait       = 30 * time.Second
	defaultLimit      = 20
	defaultValidity   = 365 * 24 * time.Hour
	authorityValidity = 10 * 365 * 24 * time.Hour
)

// flags holds the flags and positional arguments of all commands.
type flags struct {
	settings string
	controls []string
	ca       string
	cert     string
	key      string
	json     bool
	timeout  time.Duration
	stateDir string

	path, target, to    string
	comment             string
	changeID            string
	wait                bool
	waitFor             time.Duration
	at, before          string
	limit               int
	local               string
	service, dataCentre string
	role, name, out     string
	validity            time.Duration
	forget              bool
	force               bool
}

// command is one subcommand of kqctl.
type command struct {
	sub *flaggy.Subcommand
	run func(*app) error
	// nested holds the command's own subcommands.
	nested []*command
}

// commandLine returns the parser, which stores the arguments in f, and the
// commands.
func commandLine(f *flags) (*flaggy.Parser, []*command) {
	p := flaggy.NewParser("kqctl")
	p.Description = "Checks, applies and shows the declarations of a kumquathollow fleet."
	p.Version = version.Version
	p.AdditionalHelpAppend = "\nExit codes: 0 done, 1 failed, 2 usage, 3 invalid, 4 conflict, 5 outcome unknown, 6 unreachable or no quorum, 7 denied, 8 accepted but not in force everywhere."
	f.timeout, f.waitFor, f.limit, f.validity = defaultTimeout, defaultWait, defaultLimit, defaultValidity
	f.out = "."
	p.String(&f.settings, "c", "config", "settings file (YAML); default $KQCTL_CONFIG")
	p.StringSlice(&f.controls, "", "control", "fleet addresses of control processes, with commas; may be repeated")
	p.String(&f.ca, "", "ca", "file of the authority's certificate")
	p.String(&f.cert, "", "cert", "file of the operator's certificate")
	p.String(&f.key, "", "key", "file of the operator's private key")
	p.Bool(&f.json, "", "json", "print JSON")
	p.Duration(&f.timeout, "", "timeout", "time limit of a command's calls")
	p.String(&f.stateDir, "", "state", "folder for changes whose outcome is unknown")
	cmds := append(declarationCommands(f), viewCommands(f)...)
	cmds = append(cmds, stateCommands(f)...)
	for _, c := range cmds {
		p.AttachSubcommand(c.sub, 1)
		for _, n := range c.nested {
			c.sub.AttachSubcommand(n.sub, 1)
		}
	}
	return p, cmds
}

func newCommand(name, description string, run func(*app) error, nested ...*command) *command {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	return &command{sub: s, run: run, nested: nested}
}

func declarationCommands(f *flags) []*command {
	validate := newCommand("validate", "check a folder of declarations, offline", (*app).validate)
	validate.sub.AddPositionalValue(&f.path, "DIR", 1, true, "folder or file of declarations")

	plan := newCommand("plan", "show what apply would change", (*app).plan)
	plan.sub.AddPositionalValue(&f.path, "DIR", 1, true, "folder or file of declarations")

	apply := newCommand("apply", "make the declarations of a folder the accepted ones", (*app).apply)
	apply.sub.AddPositionalValue(&f.path, "DIR", 1, true, "folder or file of declarations")
	changeFlags(apply.sub, f)
	apply.sub.String(&f.changeID, "", "change-id", "id of the change; the same id is accepted once only")
	apply.sub.Bool(&f.force, "", "force", "change lease voters although not all nodes have the last change in force")

	resend := newCommand("resend", "send a change whose outcome is unknown again", (*app).resend)
	resend.sub.AddPositionalValue(&f.target, "ID", 1, false, "id of the change; may be left out if there is one")
	resend.sub.Bool(&f.forget, "", "forget", "drop the kept change instead")
	waitFlags(resend.sub, f)

	undo := newCommand("undo", "take back one change by a new revision", (*app).undo)
	undo.sub.AddPositionalValue(&f.at, "REVISION", 1, false, "revision that made the change, as EPOCH.NUMBER; default the newest")
	changeFlags(undo.sub, f)

	drain := newCommand("drain", "take a data centre or backend server out", (*app).drain)
	undrain := newCommand("undrain", "bring a data centre or backend server back", (*app).undrain)
	for _, c := range []*command{drain, undrain} {
		c.sub.AddPositionalValue(&f.target, "TARGET", 1, true, "dc/NAME or server/NAME")
		changeFlags(c.sub, f)
		c.sub.String(&f.local, "", "local", "fleet address of a router of a data centre that is cut off from control")
		c.sub.String(&f.service, "", "service", "service of a server that is not declared")
		c.sub.String(&f.dataCentre, "", "dc", "data centre of a server that is not declared")
	}
	return []*command{validate, plan, apply, resend, undo, drain, undrain}
}

func changeFlags(s *flaggy.Subcommand, f *flags) {
	s.String(&f.comment, "m", "comment", "comment for the audit trail")
	waitFlags(s, f)
}

func waitFlags(s *flaggy.Subcommand, f *flags) {
	s.Bool(&f.wait, "w", "wait", "wait until every known node has the change in force")
	s.Duration(&f.waitFor, "", "wait-for", "how long to wait")
}

func viewCommands(f *flags) []*command {
	get := newCommand("get", "show accepted declarations", (*app).get)
	get.sub.AddPositionalValue(&f.target, "WHAT", 1, false, "KIND or KIND/NAME; default all")
	get.sub.String(&f.at, "", "at", "revision, as EPOCH.NUMBER; default the newest")

	export := newCommand("export", "write accepted declarations to a folder", (*app).export)
	export.sub.AddPositionalValue(&f.path, "DIR", 1, true, "folder to write; one file per kind")
	export.sub.String(&f.at, "", "at", "revision, as EPOCH.NUMBER; default the newest")

	diff := newCommand("diff", "show what changed between two revisions", (*app).diff)
	diff.sub.AddPositionalValue(&f.at, "FROM", 1, true, "revision, as EPOCH.NUMBER")
	diff.sub.AddPositionalValue(&f.to, "TO", 2, false, "revision; default the newest")

	history := newCommand("history", "list accepted changes, newest first", (*app).history)
	audit := newCommand("audit", "list accepted changes in full, newest first", (*app).audit)
	for _, c := range []*command{history, audit} {
		c.sub.Int(&f.limit, "n", "limit", "how many changes")
		c.sub.String(&f.before, "", "before", "only changes before this revision")
	}
	status := newCommand("status", "show the control group and every node", (*app).status)
	grantor := newCommand("grantor", "show what the grantor of a data centre sees", (*app).grantor)
	grantor.sub.AddPositionalValue(&f.local, "ADDRESS", 1, true, "fleet address of a router of the data centre")
	return []*command{get, export, diff, history, audit, status, grantor}
}

func stateCommands(f *flags) []*command {
	save := newCommand("save", "save the replicated state to a file", (*app).snapshotSave)
	inspect := newCommand("inspect", "show what a saved state holds", (*app).snapshotInspect)
	restore := newCommand("restore", "begin a new epoch from a saved state, on the disk of a stopped control process", (*app).snapshotRestore)
	for _, c := range []*command{save, inspect, restore} {
		c.sub.AddPositionalValue(&f.path, "FILE", 1, true, "file of the saved state")
	}
	restore.sub.String(&f.target, "", "settings", "settings file of the control process that is to be the first voter")

	keysInit := newCommand("init", "create the fleet's certificate authority", (*app).keysInit)
	keysInit.sub.AddPositionalValue(&f.path, "DIR", 1, true, "folder of the authority")
	keysIssue := newCommand("issue", "issue a certificate", (*app).keysIssue)
	keysIssue.sub.AddPositionalValue(&f.path, "DIR", 1, true, "folder of the authority")
	keysIssue.sub.String(&f.role, "", "role", "router, control or operator")
	keysIssue.sub.String(&f.name, "", "name", "name of the holder")
	keysIssue.sub.String(&f.out, "o", "out", "folder for the certificate and key")
	for _, c := range []*command{keysInit, keysIssue} {
		c.sub.Duration(&f.validity, "", "valid", "how long the certificate is valid")
	}
	keysInspect := newCommand("inspect", "show a certificate", (*app).keysInspect)
	keysInspect.sub.AddPositionalValue(&f.path, "FILE", 1, true, "certificate in PEM")

	add := newCommand("add", "add a voter to the control group", (*app).voterAdd)
	add.sub.AddPositionalValue(&f.target, "ID", 1, true, "id of the voter")
	add.sub.AddPositionalValue(&f.to, "ADDRESS", 2, true, "fleet address of the voter")
	remove := newCommand("remove", "remove a voter from the control group", (*app).voterRemove)
	remove.sub.AddPositionalValue(&f.target, "ID", 1, true, "id of the voter")

	return []*command{
		newCommand("snapshot", "save, inspect or restore the replicated state", nil, save, inspect, restore),
		newCommand("keys", "make and show certificates", nil, keysInit, keysIssue, keysInspect),
		newCommand("voter", "change the voters of the control group", nil, add, remove),
	}
}
