//! Keys of table rows, which are small and `Copy`.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a data centre's row.
    pub struct DataCentre;
    /// Key of a rack's row.
    pub struct Rack;
    /// Key of a worker's row.
    pub struct Worker;
    /// Key of a client account's row.
    pub struct Account;
    /// Key of a guarantee's row.
    pub struct Guarantee;
    /// Key of a job's row.
    pub struct Job;
    /// Key of a run's row.
    pub struct Run;
}
