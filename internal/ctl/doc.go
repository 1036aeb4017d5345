// Package ctl implements kqctl, the operators' command-line tool.
//
// Every command exits with a code from package errkind, so that scripts can
// distinguish a conflict, a lost response and a lost quorum. Every change carries
// an id that kqctl generates. If the response is lost, kqctl sends the same
// change again; if the outcome remains unknown, it saves the change in a file for
// kqctl resend. The control group repeats every check that is made here.
package ctl
