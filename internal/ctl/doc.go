// Package ctl is the operators' tool kqctl.
//
// Every command ends with an exit code of package errkind, so that scripts can
// tell a conflict, a lost answer and a lost quorum apart. A change carries an
// id that the tool chooses; when the answer is lost, the tool sends the same
// change again, and if the outcome stays unknown it keeps the change in a file
// for kqctl resend. Nothing is decided here that the control group does not
// check again.
package ctl
