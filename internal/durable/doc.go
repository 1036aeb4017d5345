// Package durable reads and writes files so that what a process acts on survives a power
// loss.
//
// A write is durable once its file is synced, and a file's name once its folder is. What
// a process finds after a restart need not be: its predecessor may have been killed
// between a write and the sync, and only the page cache holds the data. A reader that
// acts on it syncs it first.
package durable
