//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Drives the fleet through the administration API.
    ///
    /// Exit codes: 0 done, 1 refused, 2 wrong usage, 3 another change came first,
    /// 4 the API cannot be reached or the outcome is unknown.
    cmd gooseberrydyke-ctl {
        /// Address of the administration API, default 127.0.0.1:9500 [GOOSEBERRYDYKE_ADMIN]
        optional --admin admin: String
        /// Token; better given by its variable [GOOSEBERRYDYKE_TOKEN]
        optional --token token: String
        /// Print JSON instead of tables
        optional --json

        /// State of every service against its floor
        cmd status {}
        /// Newest accepted changes
        cmd audit {
            /// How many, default 20
            optional --most most: usize
        }
        /// List services, upstreams, routes or workspaces
        cmd list {
            required part: String
        }
        /// Work with the planners' sheet
        cmd sheet {
            /// Report every fault of a sheet, without asking the API
            cmd check {
                required file: PathBuf
            }
            /// Show what a sheet would change
            cmd plan {
                required file: PathBuf
            }
            /// Bring the fleet into line with a sheet, all or nothing
            cmd apply {
                required file: PathBuf
                /// The generation that the plan named; another one in force refuses the sheet
                required --generation generation: u64
                /// Let more than a fifth of a service's upstreams leave at once
                optional --large-share
            }
        }
        /// Let an upstream finish its work and take no more
        cmd drain {
            required service: String
            required upstream: String
            /// Let more than a fifth of a service's upstreams leave at once
            optional --large-share
        }
        /// Let a draining upstream take work again
        cmd undrain {
            required service: String
            required upstream: String
        }
        /// Create or replace a service, upstream, route or workspace from a JSON file
        cmd put {
            required part: String
            required file: PathBuf
            /// The service of an upstream
            optional --service service: String
            /// Refuse when another generation is in force
            optional --generation generation: u64
        }
        /// Remove a service, upstream, route or workspace
        cmd remove {
            required part: String
            required name: String
            /// The service of an upstream
            optional --service service: String
            /// Refuse when another generation is in force
            optional --generation generation: u64
            /// Let more than a fifth of a service's upstreams leave at once
            optional --large-share
        }
        /// Manage tokens
        cmd token {
            /// Issue a token to an operator: viewer, operator or admin
            cmd issue {
                required operator: String
                required role: String
            }
            /// End an operator's token
            cmd revoke {
                required operator: String
            }
        }
        /// Tell a request's story from log lines of many nodes; asks no API
        cmd explain {
            /// The request's id
            required request: String
            /// Files with log lines as JSON; standard input when none is given
            repeated file: PathBuf
        }
        /// Make a certificate authority for the fleet, as ca.pem and ca-key.pem in a folder
        cmd new-ca {
            required folder: PathBuf
        }
    }
}
