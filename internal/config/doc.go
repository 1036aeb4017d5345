// Package config holds the declared objects: data centres, services, backend
// servers, workspaces and policies, which refer to one another by name.
//
// Operators keep the objects as YAML files in version control. A Set holds all of
// them and is validated as a whole before it is published. A published Set is
// immutable and carries the Revision under which it was accepted.
package config
