"""Third control stage: cell records and tickets in the store."""

from amaranthcrank.record import cell_record
from amaranthcrank.record import record_store
from amaranthcrank.record import settlement
from amaranthcrank.record import store_client
from amaranthcrank.record import tickets

__all__ = (
    'cell_record',
    'record_store',
    'settlement',
    'store_client',
    'tickets',
)
