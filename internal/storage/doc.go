// Package storage keeps a control process's log and snapshots in one data
// folder, and nothing else is kept there.
//
//	identity               format version, disk id, node id
//	LOCK                   held while a process uses the folder
//	log-<sequence>         records of the log; a new file after every start and snapshot
//	snapshot-<index>       one snapshot, written whole under a temporary name
//
// Every append is one checksummed record (pebble's record framing around a
// protobuf LogBatch) and one sync; a file's name is durable before its first
// record is. A record carries the next sequence number, so a valid record
// proves that the one before it had been synced. A damaged record with none
// after it is a torn tail and is cut; any other damage, or a gap, is refused
// with kind damaged-storage. A write or sync that fails ends the use of the
// folder, since what a disk holds afterwards is not known.
//
// Limits: damage to the last synced record looks like a torn tail; the other
// voters notice that the disk shows less than it promised. A snapshot that is
// installed may be as large as the state; two are kept while one is written.
package storage
