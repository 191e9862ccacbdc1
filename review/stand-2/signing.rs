//! JSON Web Tokens with HS256 (RFC 7515, RFC 2104, FIPS 180-4).

pub fn base64url(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk.iter().fold(0u32, |v, b| v << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..=chunk.len() {
            out.push(char::from(DIGITS[(value >> (18 - 6 * i)) as usize & 63]));
        }
    }
    out
}

/// A constant of SHA-256: the first 32 bits of the fraction of a root of a prime.
fn fraction(prime: u64, cube: bool) -> u32 {
    // The integer root of prime * 2^64 (square) or prime * 2^96 (cube) by bisection.
    let (mut low, mut high) = (0u128, 1u128 << 36);
    while high - low > 1 {
        let middle = (low + high) / 2;
        let fits = match cube {
            true => middle * middle * middle <= u128::from(prime) << 96,
            false => middle * middle <= u128::from(prime) << 64,
        };
        if fits { low = middle } else { high = middle }
    }
    low as u32
}

pub fn sha256(message: &[u8]) -> [u8; 32] {
    let primes: Vec<u64> = (2..).filter(|n| (2..*n).all(|d| n % d != 0)).take(64).collect();
    let k: Vec<u32> = primes.iter().map(|p| fraction(*p, true)).collect();
    let mut h: Vec<u32> = primes[..8].iter().map(|p| fraction(*p, false)).collect();
    let mut padded = message.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend((message.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut w: Vec<u32> = block.chunks(4).map(|b| u32::from_be_bytes(b.try_into().unwrap())).collect();
        for i in 16..64 {
            let (a, b) = (w[i - 15], w[i - 2]);
            let s0 = a.rotate_right(7) ^ a.rotate_right(18) ^ (a >> 3);
            let s1 = b.rotate_right(17) ^ b.rotate_right(19) ^ (b >> 10);
            w.push(w[i - 16].wrapping_add(s0).wrapping_add(w[i - 7]).wrapping_add(s1));
        }
        let mut v = h.clone();
        for i in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let one = v[7].wrapping_add(s1).wrapping_add(choice).wrapping_add(k[i]).wrapping_add(w[i]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let most = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            v.rotate_right(1);
            v[4] = v[4].wrapping_add(one);
            v[0] = one.wrapping_add(s0.wrapping_add(most));
        }
        h.iter_mut().zip(&v).for_each(|(h, v)| *h = h.wrapping_add(*v));
    }
    let bytes: Vec<u8> = h.iter().flat_map(|h| h.to_be_bytes()).collect();
    bytes.try_into().unwrap()
}

fn hmac(secret: &[u8; 32], message: &[u8]) -> [u8; 32] {
    let mut key = secret.to_vec();
    key.resize(64, 0);
    let pad = |byte: u8| key.iter().map(|k| k ^ byte).collect::<Vec<u8>>();
    sha256(&[&pad(0x5c)[..], &sha256(&[&pad(0x36)[..], message].concat())].concat())
}

/// A signed token with these claims.
pub fn token(key_id: &str, claims: &str, secret: &[u8; 32]) -> String {
    let header = format!("{{\"alg\":\"HS256\",\"kid\":\"{key_id}\"}}");
    let signed = format!("{}.{}", base64url(header.as_bytes()), base64url(claims.as_bytes()));
    format!("{signed}.{}", base64url(&hmac(secret, signed.as_bytes())))
}
