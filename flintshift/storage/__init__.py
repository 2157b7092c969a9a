"""What is kept on disk: one seam to the files, a checksummed log in segments, snapshots, a folder's lock."""
